package ownership

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
)

// A host that is cut off from all servers hands its jobs over to hosts that reach
// some, first cancelling the runs of a job, then writing its record with the
// output so far. It keeps the jobs whose items all still run, and all of them if
// every other host is cut off too. It does not take them back afterwards, since
// each change of owner costs writes.

const (
	// evacuateAfter is how long a host must be cut off before it hands jobs over.
	// A shorter cut delays items by less than a new owner would.
	evacuateAfter = time.Second
)

var handedOverTotal = metrics.NewCounter("kingcupquay_jobs_handed_over_total")

// cutOffTimer measures how long this host has been cut off from all servers while
// another was not.
type cutOffTimer struct {
	// since is when the cut was first observed, observed when it last was; zero if
	// the host is not cut off.
	since, observed time.Time
}

// observe records whether the host is cut off, and returns for how long it has
// been. A cut that was not observed for a while counts as a new one.
func (c *cutOffTimer) observe(now time.Time, cutOff bool) time.Duration {
	if !cutOff {
		*c = cutOffTimer{}
		return 0
	}
	if c.since.IsZero() || now.Sub(c.observed) > evacuateAfter {
		c.since = now
	}
	c.observed = now
	return now.Sub(c.since)
}

// evacuate hands jobs that can't go on over to other hosts if this host has been
// cut off from all servers for evacuateAfter while other hosts were not.
func (m *Manager) evacuate() {
	m.writeMu.Lock()
	defer m.writeMu.Unlock()
	now := m.Timer.Now()
	cutOff := m.Peers.CutOff(m.Host)
	var heirs []string
	if cutOff {
		heirs = slices.DeleteFunc(m.Peers.Live(), func(host string) bool { return host == m.Host || m.Peers.CutOff(host) })
	}
	// After an outage of all servers, one host learns of its end before others.
	if m.cutOff.observe(now, cutOff && len(heirs) > 0) < evacuateAfter || now.Before(m.nextWrite) {
		return
	}
	group := m.collectEvacuated(now, heirs)
	if len(group) == 0 {
		return
	}
	written := m.write(m.writeContext(), group)
	for _, c := range group {
		// A write whose reply was lost may be known to have taken effect for some only.
		m.mu.Lock()
		owned := m.jobs[c.after.ID] == c.j
		m.mu.Unlock()
		if !owned {
			m.notifyHeir(c)
		}
	}
	if !written {
		m.delayNextWrite()
		return
	}
	m.writeFailures = 0
}

// collectEvacuated returns the changes that hand jobs over, and cancels the runs
// of the jobs that are to be handed over next.
func (m *Manager) collectEvacuated(now time.Time, heirs []string) []change {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return nil
	}
	var group []change
	bytes := 0
	for id, j := range m.jobs {
		if len(j.job.Candidates(now)) == 0 || now.Before(j.rejected.until) {
			continue
		}
		if len(j.runs) > 0 {
			j.cancelRuns(cutHostCutOff)
			continue
		}
		unlisted := j.job.Unlisted()
		added, size := jobstate.FirstPart(unlisted)
		if len(added) < len(unlisted) || len(added) > 0 && !j.claim.MayList(m.Timer.Uptime()) {
			// flush lists the first of them before.
			continue
		}
		partials := j.job.Partials(maxPartialBytes)
		for _, partial := range partials {
			size += len(partial.Text)
		}
		if len(group) == maxGroupJobs || len(group) > 0 && bytes+size > maxTxnBytes {
			break
		}
		bytes += size
		c := m.newChange(j, added)
		c.after.Owner, c.after.Released, c.partials = rendezvous.First(heirs, id), j.claim.MayList(m.Timer.Uptime()), partials
		group = append(group, c)
	}
	return group
}

// letGo removes a job whose record now names another owner, before the heir can have
// listed a result that this host denies. The caller holds m.mu.
func (m *Manager) letGo(c change) {
	id, heir := c.after.ID, c.after.Owner
	if m.jobs[id] != c.j {
		return
	}
	c.j.cancelRuns(cutHostCutOff)
	delete(m.jobs, id)
	m.owners[id] = heir
	c.j.notify()
	handedOverTotal.Inc()
	m.Log.Info("job handed over", "job", id, "heir", heir, "listed", c.after.Listed, "total", c.after.Total, "with_output", len(c.partials),
		"cause", "this host is cut off from all servers")
}

// notifyHeir tells the heir of a job that it owns it. If this host lost the job, an
// earlier write whose reply was lost may have made heir the owner; it takes nothing
// over if that is not so.
func (m *Manager) notifyHeir(c change) {
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		if failure := m.Peers.Adopt(m.ctx, c.after.Owner, c.after.ID); failure != nil {
			m.Log.Info("heir not told", "job", c.after.ID, "heir", c.after.Owner, "cause", failure.Error())
		}
	}()
}

// reaching returns the hosts that are not cut off from all servers, or all of
// them if every one is.
func (m *Manager) reaching(hosts []string) []string {
	reaching := slices.DeleteFunc(slices.Clone(hosts), m.Peers.CutOff)
	if len(reaching) == 0 {
		return hosts
	}
	return reaching
}
