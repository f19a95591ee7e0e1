package ownership

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/itemrun"
	"github.com/kingcupquay/kingcupquay/internal/batch/priority"
	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/capacity"
	"github.com/kingcupquay/kingcupquay/internal/serving/events"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
	"github.com/kingcupquay/kingcupquay/internal/serving/suspect"
)

// maxResultBytes bounds the result of an item, which is stored in one value.
const maxResultBytes = store.MaxValueBytes - 4<<10

// maxOutputBytes is the size at which an answer that has not ended is broken off. Its
// server is taken for faulty, and the item runs again.
const maxOutputBytes = 2 * maxResultBytes

// schedule preempts items on servers that have more requests than slots, and
// starts waiting items where slots are free.
func (m *Manager) schedule() {
	config := m.Config.Current()
	if config == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return
	}
	now := m.Timer.Now()
	m.preemptSurplus(now)
	queues := make(map[string][]*queuedItem)
	resting := m.restsOf()
	for _, j := range m.jobs {
		m.enqueue(now, config, j, resting, queues)
	}
	for service := range m.backlogged {
		if len(queues[service]) == 0 {
			m.Placer.SetWaiting(now, service, scheduler.Backlog{})
			m.planOf(service).count(priority.Counts{})
			delete(m.backlogged, service)
		}
	}
	for service, queue := range queues {
		m.scheduleService(now, service, queue)
	}
	m.Placer.ReturnUnused()
}

// scheduleService starts the waiting items of one service where slots are free,
// and reports the others as the backlog.
func (m *Manager) scheduleService(now time.Time, service string, queue []*queuedItem) {
	m.planService(now, service, queue)
	slices.SortFunc(queue, func(a, b *queuedItem) int { return priority.CompareStart(a.Item, b.Item) })
	m.Placer.SetWaiting(now, service, backlogOf(queue, queue[0].Urgency()))
	m.backlogged[service] = true
	waiting := m.startQueued(service, queue, now)
	if len(waiting) == 0 {
		m.Placer.SetWaiting(now, service, scheduler.Backlog{})
		return
	}
	backlog := backlogOf(waiting, waiting[0].Urgency())
	m.Placer.SetWaiting(now, service, backlog)
	m.giveWay(now, service, backlog.Planned)
}

// backlogOf returns the backlog of a queue whose most urgent item has an urgency.
func backlogOf(queue []*queuedItem, urgency time.Duration) scheduler.Backlog {
	c := priority.Count(queue, func(w *queuedItem) priority.Item { return w.Item })
	return scheduler.Backlog{Items: len(queue), Slack: urgency.Milliseconds(), Planned: c.Planned, Deferred: c.Deferred}
}

// queuedItem is an item that waits for a slot.
type queuedItem struct {
	priority.Item
	*ownedJob
	index int
	route *routes.Route
}

// enqueue adds a job's waiting items to the queues of their services. It gives up
// those whose route the operator has removed, and those that failed in all attempts
// of their route. Both need the configuration, and none older than the one that accepted
// the job; until it is known they wait. Items that rest, and those whose expectation no
// server meets, are left out.
func (m *Manager) enqueue(now time.Time, config *routes.Config, j *ownedJob, resting rests, queues map[string][]*queuedItem) {
	if j.ending > 0 || now.Before(j.heldUntil) {
		return
	}
	record := j.job.Record()
	if config.Version() < record.ConfigVersion {
		return
	}
	unrouted, failed := 0, 0
	for _, i := range j.job.Candidates(now) {
		route := j.routeOf(i, config)
		if route == nil {
			j.job.GiveUp(i)
			unrouted++
			continue
		}
		if j.job.GiveUpFailed(i, route.MaxAttempts) {
			failed++
			m.Log.Info("item given up", "job", record.ID, "item", j.job.Item(i).ID, "cause", "it failed in all attempts of its route", "attempts", route.MaxAttempts, "config", config.Version())
			continue
		}
		if j.job.Held(i) {
			continue
		}
		if m.rests(now, resting, record.ID, j.job.Item(i)) {
			continue
		}
		service := route.Pick(splitPoint(j.job.Item(i).ID))
		if m.noneMeets(now, service, j.job.Item(i)) {
			continue
		}
		queues[service] = append(queues[service], &queuedItem{ownedJob: j, index: i, route: route, Item: m.priorityOf(now, j, i, service)})
	}
	if unrouted+failed > 0 {
		j.noteUnlisted(now)
	}
	if unrouted > 0 {
		m.Log.Info("items given up", "job", record.ID, "items", unrouted, "cause", "the operator removed the route", "config", config.Version())
	}
}

// routeOf returns the route of an item, nil if it has none. The items of a job may
// have different paths, and thus different routes. The caller holds Manager.mu.
func (j *ownedJob) routeOf(i int, config *routes.Config) *routes.Route {
	record := j.job.Record()
	if j.routesOf != config {
		j.routesOf, j.routes = config, make(map[string]*routes.Route)
	}
	path := j.job.Item(i).Path
	route, known := j.routes[path]
	if !known {
		if r, ok := config.MatchItem(record.Host, path, record.Route); ok {
			route = r
		}
		j.routes[path] = route
	}
	return route
}

// splitPoint returns the number in [0, 1) by which Route.Pick selects the service of
// an item. It depends on the item only, so that all its runs are at one service.
func splitPoint(item string) float64 {
	const mantissaBits = 53
	return float64(rendezvous.Mix(rendezvous.Hash(item))>>(64-mantissaBits)) / (1 << mantissaBits)
}

// priorityOf returns the properties by which an item of a service is ordered among others.
func (m *Manager) priorityOf(now time.Time, j *ownedJob, index int, service string) priority.Item {
	r, events := j.job.Record(), j.job.Events(index)
	return priority.Item{
		Slack: m.estimator.Slack(now, r.Due, events), Remaining: m.estimator.Remaining(events), Total: m.estimator.Remaining(0),
		Preempted: j.preemptions[index], Wait: m.planOf(service).capacity.Wait(),
		Events: events, Accepted: r.Accepted, Key: r.ID + "/" + j.job.Item(index).ID,
	}
}

// startQueued starts the first items of a service's queue where slots are free
// and returns the others.
func (m *Manager) startQueued(service string, queue []*queuedItem, now time.Time) []*queuedItem {
	placed := m.Placer.PlaceBatch(now, service, m.ServerDirectory.Usable(service), len(queue))
	waiting := slices.Clone(queue[len(placed):])
	for n, chosen := range assign(placed, queue, func(w *queuedItem, s backend.Server) bool {
		return w.job.FitsSoftware(w.index, s.SoftwareVersion) && m.mayMeet(now, w, s)
	}) {
		s, w := placed[n], queue[chosen]
		if !m.mayMeet(now, w, s) {
			if s, w, waiting = m.placeElsewhere(now, service, s, w, waiting); w == nil {
				continue
			}
		}
		if discarded := w.job.Start(w.index, s.SoftwareVersion); discarded > 0 {
			restartedTotal.Inc()
			m.Log.Info("item begins anew", "job", w.job.Record().ID, "item", w.job.Item(w.index).ID, "server", s.ID, "software", s.SoftwareVersion, "events", discarded)
		}
		ctx, cancel := context.WithCancel(m.ctx)
		r := &run{server: s, cancel: cancel}
		w.runs[w.index] = r
		startedTotal.Inc()
		m.Log.V(1).Info("item placed", "job", w.job.Record().ID, "item", w.job.Item(w.index).ID, "server", s.ID,
			"software", s.SoftwareVersion, "after_event", w.job.ResumePoint(w.index).After, "slack_ms", w.Slack.Milliseconds(), "waiting", len(queue)-n)
		m.wg.Add(1)
		go m.runItem(ctx, w.ownedJob, w.index, r, w.route, service)
	}
	return waiting
}

// preemptSurplus preempts items on servers with more requests than slots, in the order
// of priority.ComparePreemption.
func (m *Manager) preemptSurplus(now time.Time) {
	serversByID := make(map[string]backend.Server)
	type candidate struct {
		priority.Item
		*run
		job   *ownedJob
		index int
	}
	var candidates []candidate
	levels := make(map[string][]int)
	cancelledByServer := make(map[string]int)
	for _, j := range m.jobs {
		for i, r := range j.runs {
			serversByID[r.server.ID] = r.server
			if r.cancelled {
				cancelledByServer[r.server.ID]++
				levels[r.server.ID] = append(levels[r.server.ID], 0)
				continue
			}
			c := candidate{m.priorityOf(now, j, i, r.server.Service), r, j, i}
			levels[r.server.ID] = append(levels[r.server.ID], c.Level())
			candidates = append(candidates, c)
		}
	}
	if len(serversByID) == 0 {
		return
	}
	servers := make([]backend.Server, 0, len(serversByID))
	for _, s := range serversByID {
		servers = append(servers, s)
	}
	m.Placer.SetLevels(levels)
	surplus := m.Placer.BatchToPreempt(now, servers)
	if len(surplus) == 0 {
		return
	}
	loads := m.Placer.ServerLoads(now, servers)
	slices.SortFunc(candidates, func(a, b candidate) int { return priority.ComparePreemption(a.Item, b.Item) })
	for _, c := range candidates {
		if surplus[c.server.ID] > cancelledByServer[c.server.ID] {
			cancelledByServer[c.server.ID]++
			c.cancelFor(preemptionCause(loads[c.server.ID].Online))
			c.job.preemptions[c.index]++
			m.planOf(c.server.Service).preempted++
			preemptedTotal.Inc()
			m.Log.V(1).Info("item left its slot", "item", c.Key, "server", c.server.ID, "surplus", surplus[c.server.ID], "slack_ms", c.Slack.Milliseconds(), "events", c.Events)
		}
	}
}

// recordCrash records the end of a run with its server, or what may turn out to be one.
func (m *Manager) recordCrash(job string, c *exchange.Call, s backend.Server, sentAt time.Time, events int, end itemrun.End) {
	if end.Kind != itemrun.Crashed && !end.Lost {
		return
	}
	m.Crashes.ItemLost(job, c, s.Start(), sentAt, events)
	if end.Kind != itemrun.Crashed {
		m.Servers.Watch(s)
		return
	}
	m.Crashes.Ended(s.Start())
	if until, rests := m.Crashes.RestingItems()[suspect.ItemName(job, c.ID)]; rests {
		m.Log.Info("item rests", "job", job, "item", c.ID, "until", until, "cause", "its servers crashed during its runs")
	}
}

// runItem runs an item on a server until its answer is complete, the run is
// cancelled or the server fails.
func (m *Manager) runItem(ctx context.Context, j *ownedJob, i int, r *run, route *routes.Route, service string) {
	defer m.wg.Done()
	m.mu.Lock()
	item, resume, eventsBefore := j.job.Item(i), j.job.ResumePoint(i), j.job.Events(i)
	record := j.job.Record()
	m.mu.Unlock()
	call := &exchange.Call{
		ID: item.ID, Method: http.MethodPost, Target: item.Path, Host: record.Host, Fields: item.Fields, Body: item.Body,
		Route: route, Service: service, Received: m.Timer.Now(), Organisation: record.Organisation,
	}
	call.SharedParts, call.LastPart = m.partsOf(item)
	call.Expectation = m.expectationOf(item)
	end := itemrun.End{Kind: itemrun.Requeue, Cause: "its record does not allow it"}
	endless, brought, sent := false, 0, false
	var sentAt time.Time
	if m.mayRun(ctx, j) {
		tracked := m.Crashes.Sent(call, r.server.Start())
		defer m.Crashes.Gone(tracked)
		ctx := exchange.WithCheck(ctx, func() bool { return m.stillMaySend(j, i, r.server) })
		sent, sentAt = true, m.Timer.Now()
		meter := capacity.NewMeter(sentAt, false)
		end = itemrun.Run(ctx, m.Timer, m.Servers, r.server, call, resume, func(received []events.Event) {
			if brought == 0 && len(received) > 0 {
				m.Crashes.Alive(r.server.Start(), sentAt)
			}
			if len(received) > 0 {
				brought += len(received)
				m.Crashes.Answering(call, tracked, brought)
				m.Placer.RecordEvents(m.Timer.Now(), r.server, &meter, len(received))
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			for _, e := range received {
				j.job.Append(i, e.ID, e.Data)
			}
			if j.job.OutputSize(i) > maxOutputBytes {
				endless = true
				r.cancel()
			}
		})
		m.Crashes.Gone(tracked)
	}
	if endless {
		end = itemrun.End{Kind: itemrun.Requeue, Outcome: scheduler.Failed, Cause: "its answer does not end"}
	}
	m.recordCrash(record.ID, call, r.server, sentAt, int(resume.After)+brought, end)
	if end.Kind == itemrun.Completed {
		m.Crashes.ItemDone(record.ID, call, !resume.Set)
	}
	if end.Misdirected {
		m.ServerDirectory.MarkMisdirected(r.server)
	}
	cancelled := ctx.Err() != nil && !endless
	r.cancel()
	now := m.Timer.Now()
	m.Placer.EndBatch(now, r.server, end.Outcome)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(j.runs, i)
	m.countCut(j, i, r, end, sent, endless)
	switch end.Kind {
	case itemrun.Completed:
		events := j.job.Events(i)
		m.estimator.Observe(events, events-eventsBefore, now.Sub(call.Received))
		if size := j.job.OutputSize(i); size > maxResultBytes {
			j.job.GiveUp(i)
			m.Log.Info("item given up", "job", record.ID, "item", item.ID, "cause", "its answer exceeds the maximum stored size", "bytes", size)
			break
		}
		j.job.Finish(i)
	case itemrun.Requeue, itemrun.Crashed:
		if end.Reason == itemrun.Unmet {
			m.unmet.Record(now, call.Expectation, r.server.Start())
		}
		if endless {
			until := j.job.RecordEndless(i, now)
			m.Log.Info("item rests", "job", record.ID, "item", item.ID, "until", until, "cause", end.Cause)
		}
		j.job.Requeue(i)
	case itemrun.RequeueFromStart:
		j.job.DiscardOutput(i)
		j.job.Requeue(i)
	case itemrun.Failed:
		j.job.DiscardOutput(i)
		j.job.RecordFailure(i)
	case itemrun.Rejected:
		j.job.Reject(i)
		m.Log.Info("item given up", "job", record.ID, "item", item.ID, "cause", end.Cause)
	}
	if end.Reason == itemrun.BadAnswer {
		j.job.RecordBadAnswer(i, now)
	}
	if end.Kind != itemrun.Completed && !cancelled {
		m.Log.Info("item interrupted", "job", record.ID, "item", item.ID, "server", r.server.ID, "after_event", j.job.ResumePoint(i).After, "cause", end.Cause)
	}
	if end.Kind.MayFinish() {
		j.noteUnlisted(now)
	}
	m.TriggerSchedule()
}
