package ownership

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/batch/priority"
)

const (
	// sampleInterval is the time between two samples of the capacity. It is short
	// compared with a surge of online requests.
	sampleInterval = 100 * time.Millisecond
	// planLogInterval is the shortest time between two log lines on the plan of a
	// service.
	planLogInterval = time.Second
)

// servicePlan is what this host measures of a service and expects of its waiting items.
type servicePlan struct {
	capacity priority.Capacity
	// preempted is the number of preemptions since the last sample.
	preempted int
	// full is set if no slot was free for items at the last pass.
	full     bool
	loggedAt time.Time
	// planned, deferred and late are the gauges of the counts.
	planned, deferred, late *metrics.Gauge
}

// planOf returns the plan of a service. The caller holds m.mu.
func (m *Manager) planOf(service string) *servicePlan {
	p := m.plans[service]
	if p == nil {
		gauge := func(class string) *metrics.Gauge {
			return metrics.GetOrCreateGauge(fmt.Sprintf(`kingcupquay_jobs_items_waiting{service=%q,expected=%q}`, service, class), nil)
		}
		p = &servicePlan{planned: gauge("on time"), deferred: gauge("deferred"), late: gauge("late")}
		m.plans[service] = p
	}
	return p
}

// count sets the gauges.
func (p *servicePlan) count(c priority.Counts) {
	p.planned.Set(float64(c.Planned))
	p.deferred.Set(float64(c.Deferred))
	p.late.Set(float64(c.Late))
}

// sampleCapacity adds the state of each service to its averages.
func (m *Manager) sampleCapacity() {
	now := m.Timer.Now()
	services := m.ServerDirectory.Services()
	m.mu.Lock()
	defer m.mu.Unlock()
	samples := make(map[string]*priority.Sample, len(services))
	for _, service := range services {
		free, _, _ := m.Placer.BatchLoad(now, service, m.ServerDirectory.Usable(service))
		p := m.planOf(service)
		samples[service] = &priority.Sample{Free: free, Preempted: p.preempted}
		p.preempted = 0
	}
	config := m.Config.Current()
	for _, j := range m.jobs {
		for i, r := range j.runs {
			if s := samples[r.server.Service]; s != nil && !r.cancelled && j.job.Events(i) > 0 {
				s.Running++
			}
		}
		if config == nil {
			continue
		}
		for _, i := range j.job.Candidates(now) {
			if j.job.Events(i) == 0 {
				continue
			}
			// Items that can't be on time wait because others go first, not because
			// online requests take their slots.
			if record := j.job.Record(); m.estimator.Slack(now, record.Due, j.job.Events(i)) < 0 {
				continue
			}
			if route := j.routeOf(i, config); route != nil {
				if s := samples[route.Pick(splitPoint(j.job.Item(i).ID))]; s != nil {
					s.Interrupted++
				}
			}
		}
	}
	for service, s := range samples {
		m.planOf(service).capacity.Observe(now, *s)
	}
}

// planService decides which waiting items of a service are expected to be on time. The
// caller holds m.mu.
func (m *Manager) planService(now time.Time, service string, queue []*queuedItem) {
	p := m.planOf(service)
	free, running, planned := m.Placer.BatchLoad(now, service, m.ServerDirectory.Usable(service))
	items := make([]*priority.Item, len(queue))
	for n, w := range queue {
		items[n] = &w.Item
	}
	if p.capacity.Measured() {
		priority.Plan(items, &p.capacity, priority.Competition{Running: running, Planned: planned})
	}
	counts := priority.Count(queue, func(w *queuedItem) priority.Item { return w.Item })
	if counts.Deferred > 0 && now.Sub(p.loggedAt) >= planLogInterval {
		p.loggedAt = now
		m.Log.Info("items put behind", "service", service, "deferred", counts.Deferred, "planned", counts.Planned, "late", counts.Late, "running", running,
			"planned_elsewhere", planned, "free_slots", int(p.capacity.Free()), "interruption_percent", int(100*p.capacity.Interruption()))
	}
	p.count(counts)
	p.full = running >= free
}

// giveWay has items that have become late during their runs leave their slots to a number
// of waiting items of this host that are expected to be on time, if no slot is free. The
// caller holds m.mu.
func (m *Manager) giveWay(now time.Time, service string, waiting int) {
	if !m.planOf(service).full {
		return
	}
	for _, j := range m.jobs {
		due := j.job.Record().Due
		for i, r := range j.runs {
			if waiting == 0 {
				return
			}
			if r.server.Service != service {
				continue
			}
			if r.cancelled {
				waiting--
				continue
			}
			if item := m.priorityOf(now, j, i, service); priority.GivesWay(item, now, due) {
				waiting--
				r.cancelFor(cutLate)
				j.preemptions[i]++
				m.Log.V(1).Info("late item left its slot", "item", item.Key, "server", r.server.ID, "slack_ms", item.Slack.Milliseconds(), "events", item.Events)
			}
		}
	}
}
