package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/notice"
	"github.com/kingcupquay/kingcupquay/internal/record/follow"
	"github.com/kingcupquay/kingcupquay/internal/serving/capacity"
	"github.com/kingcupquay/kingcupquay/internal/serving/slots"
)

const (
	// A message lists up to maxAnnouncedJobs of the newest acquired jobs and as
	// many ended ones, each for announcePeriod.
	maxAnnouncedJobs = 24
	announcePeriod   = 2 * time.Second
)

// announcements are the jobs that this host announces.
type announcements struct {
	mu sync.Mutex
	// owned are jobs that this host has accepted or taken over, ended those that
	// it ended in the store without their owner, for example because the owner
	// could not be reached.
	owned recentJobs
	ended recentJobs
	// zoneOwned and zoneEnded are those of the hosts that report to this one,
	// farOwned and farEnded those of other zones. A relay passes them on.
	zoneOwned, zoneEnded recentJobs
	farOwned, farEnded   recentJobs
	// passedNear and passedFar are what the last summaries told of the servers.
	passedNear, passedFar passedOn
}

// recentJobs is a list of jobs to announce, oldest first.
type recentJobs []recentJob

type recentJob struct {
	id string
	// host is the one that announced the job.
	host string
	at   time.Time
}

// add adds a job unless it is listed.
func (r *recentJobs) add(now time.Time, host, id string) {
	if !slices.ContainsFunc(*r, func(j recentJob) bool { return j.id == id && j.host == host }) {
		*r = append(*r, recentJob{id: id, host: host, at: now})
	}
}

// trim removes jobs older than announcePeriod.
func (r *recentJobs) trim(now time.Time) {
	for len(*r) > 0 && now.Sub((*r)[0].at) > announcePeriod {
		*r = (*r)[1:]
	}
}

// newest returns the IDs of up to maxAnnouncedJobs of the newest jobs.
func (r *recentJobs) newest(now time.Time) []string {
	r.trim(now)
	var ids []string
	for _, job := range (*r)[max(0, len(*r)-maxAnnouncedJobs):] {
		ids = append(ids, job.id)
	}
	return ids
}

// byHost adds the jobs to lists by host.
func (r *recentJobs) byHost(now time.Time, lists map[string][]string) {
	r.trim(now)
	for _, job := range *r {
		lists[job.host] = append(lists[job.host], job.id)
	}
}

// ids returns the IDs of all jobs.
func (r *recentJobs) ids(now time.Time) []string {
	r.trim(now)
	var ids []string
	for _, job := range *r {
		ids = append(ids, job.id)
	}
	return ids
}

// announceJob adds a job of this host to a list that the next messages carry.
func (h *Host) announceJob(list *recentJobs, id string) {
	h.announcements.mu.Lock()
	*list = append(*list, recentJob{id: id, host: h.settings.Name, at: h.timer.Now()})
	h.announcements.mu.Unlock()
	h.sendNoticeSoon()
	h.passOn()
}

// announceOwnedJobs announces all unfinished jobs that this host owns.
func (h *Host) announceOwnedJobs() {
	for _, id := range h.jobs.OwnedJobs() {
		h.announceJob(&h.announcements.owned, id)
	}
}

// passOn requests that a summary be sent soon, if this host is a relay.
func (h *Host) passOn() {
	if h.notices != nil {
		h.notices.TriggerSummary()
	}
}

// handleLiveness is called when another host becomes live or dead, with the table
// of hosts locked.
func (h *Host) handleLiveness(host string, live bool) {
	h.log.Info("host seen", "host", host, "live", live)
	if !live {
		go h.handleSilentHost(host)
		return
	}
	h.peers.clearProbe(host)
	// The host may have missed earlier announcements.
	go h.announceToNewcomer()
}

// announceToNewcomer announces this host's jobs again, unless it reports to
// relays, which do it for all hosts.
func (h *Host) announceToNewcomer() {
	if !h.members.LargeFleet() {
		h.announceOwnedJobs()
	}
}

// handleSilentHost probes a host that is not heard any more and triggers a scan
// for jobs without a live owner, if this host is one of those that scan.
func (h *Host) handleSilentHost(host string) {
	if h.members.LargeFleet() && !h.members.IsRelay(h.timer.Now()) {
		return
	}
	h.peers.probe(h.ctx, host)
	h.jobs.TriggerScan()
}

// passedOn holds the revisions of the list of servers up to which the last
// summaries told the changes. Each change is told in two summaries; who loses both
// fetches the list.
type passedOn struct {
	last, lastButOne int64
}

// advance records that a summary told the changes up to a revision.
func (p *passedOn) advance(revision int64) { p.last, p.lastButOne = revision, p.last }

// statusSource returns and handles the messages of a host.
type statusSource Host

var _ notice.Source = (*statusSource)(nil)

// Notice returns this host's status.
func (s *statusSource) Notice() notice.Notice {
	now := s.timer.Now()
	n := notice.Notice{ConfigVersion: s.config.Version(), ServersRevision: s.serverFollower.Applied(), Suspects: s.suspects.Shared()}
	s.slots.Fill(&n)
	s.quotas.fill(now, &n)
	s.announcements.mu.Lock()
	n.AcquiredJobs, n.EndedJobs = s.announcements.owned.newest(now), s.announcements.ended.newest(now)
	s.announcements.mu.Unlock()
	return n
}

// Capacity returns the times that this host measured at servers since the last call.
func (s *statusSource) Capacity() []capacity.Report { return s.placer.CapacityReports() }

// Summary returns what this host passes on as a relay: to hosts that report to
// it, or to relays of other zones.
func (s *statusSource) Summary(far bool) notice.Summary {
	now := s.timer.Now()
	m := notice.Summary{ConfigVersion: s.config.Version(), Suspects: s.suspects.Shared(), AcquiredJobs: make(map[string][]string)}
	s.slots.FillSummary(&m)
	a := &s.announcements
	a.mu.Lock()
	defer a.mu.Unlock()
	passed := &a.passedNear
	if far {
		passed = &a.passedFar
	}
	m.Servers = notice.Changes(s.serverFollower.Changes(passed.lastButOne))
	passed.advance(m.Servers.To)
	for _, list := range []*recentJobs{&a.owned, &a.zoneOwned} {
		list.byHost(now, m.AcquiredJobs)
	}
	m.EndedJobs = append(a.ended.ids(now), a.zoneEnded.ids(now)...)
	if far {
		m.Loads = nil
	} else {
		a.farOwned.byHost(now, m.AcquiredJobs)
		m.EndedJobs = append(m.EndedJobs, a.farEnded.ids(now)...)
	}
	return m
}

// HandleNotice applies the status of another host. A host with a newer
// configuration is asked for it.
func (s *statusSource) HandleNotice(n notice.Notice) {
	h := (*Host)(s)
	h.slots.HandleNotice(n)
	h.suspects.Merge(n.Suspects)
	h.quotas.observe(h.timer.Now(), n)
	if !h.members.LargeFleet() {
		h.serverFollower.ReportRevision(n.ServersRevision)
	}
	h.learnJobs(map[string][]string{n.Host: n.AcquiredJobs}, n.EndedJobs)
	h.collectJobs(&h.announcements.zoneOwned, &h.announcements.zoneEnded, map[string][]string{n.Host: n.AcquiredJobs}, n.Host, n.EndedJobs)
	if n.ConfigVersion > h.config.Version() {
		h.fetchConfig(n.Address)
	}
	h.jobs.TriggerSchedule()
}

// HandleSummary applies what a relay passed on.
func (s *statusSource) HandleSummary(m notice.Summary) {
	h := (*Host)(s)
	h.slots.HandleSummary(m)
	h.suspects.Merge(m.Suspects)
	h.readers.observe(h.timer.Now(), m)
	if m.Servers.To > 0 && !h.serverFollower.Apply(follow.Changes(m.Servers)) {
		h.fetchServers(m.Address)
	}
	h.learnJobs(m.AcquiredJobs, m.EndedJobs)
	if m.Zone != h.settings.Zone && !m.Forwarded {
		h.collectJobs(&h.announcements.farOwned, &h.announcements.farEnded, m.AcquiredJobs, m.Host, m.EndedJobs)
	}
	if m.ConfigVersion > h.config.Version() {
		h.fetchConfig(m.Address)
	}
}

// HandleAnswers applies what the coordinator answered.
func (s *statusSource) HandleAnswers(a notice.Answers) { s.slots.HandleAnswers(a) }

// HandleTokens applies a message about tokens of limits.
func (s *statusSource) HandleTokens(t notice.Tokens) { s.quotas.handle(s.timer.Now(), t) }

func (h *Host) learnJobs(acquired map[string][]string, ended []string) {
	for host, ids := range acquired {
		if len(ids) > 0 && host != h.settings.Name {
			h.jobs.LearnOwner(host, ids)
		}
	}
	if len(ended) > 0 {
		h.jobs.LearnEnded(ended)
	}
}

// collectJobs adds announced jobs to the lists that this host passes on as a
// relay.
func (h *Host) collectJobs(owned, endedList *recentJobs, acquired map[string][]string, from string, ended []string) {
	if len(acquired) == 0 && len(ended) == 0 || !h.members.LargeFleet() {
		return
	}
	now := h.timer.Now()
	h.announcements.mu.Lock()
	defer h.announcements.mu.Unlock()
	for host, ids := range acquired {
		for _, id := range ids {
			owned.add(now, host, id)
		}
	}
	for _, id := range ended {
		endedList.add(now, from, id)
	}
	owned.trim(now)
	endedList.trim(now)
}

// slotsNetwork connects the slots of a host to its messages.
type slotsNetwork Host

var _ slots.Network = (*slotsNetwork)(nil)

// Coordinator returns the first relay of a zone.
func (n *slotsNetwork) Coordinator(zone string) (notice.Member, bool) {
	relays := n.members.Relays(n.timer.Now(), zone)
	if len(relays) == 0 {
		return notice.Member{}, false
	}
	return relays[0], true
}

// Member returns the last known description of a host.
func (n *slotsNetwork) Member(host string) (notice.Member, bool) { return n.members.Peer(host) }

// Suspect passes a relay over for a while.
func (n *slotsNetwork) Suspect(host string) { n.members.Suspect(n.timer.Now(), host) }

// SendNotice sends this host's status at once.
func (n *slotsNetwork) SendNotice(address string) {
	if n.notices != nil {
		n.notices.SendNotice(address)
	}
}

// SendAnswers sends answers at once.
func (n *slotsNetwork) SendAnswers(address string, a notice.Answers) {
	if n.notices != nil {
		n.notices.SendAnswers(address, a)
	}
}
