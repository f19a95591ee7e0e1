package ownership

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/itemrun"
	"github.com/kingcupquay/kingcupquay/internal/batch/priority"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/events"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
)

// maxText bounds the text of an item: it stands in one value of the store.
const maxText = store.MaxValueBytes - 4<<10

// schedule makes items leave servers that have too many requests, and starts
// waiting items where slots are free.
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
	m.leave(now)
	queues := make(map[string][]*waiting)
	for _, h := range m.jobs {
		m.enqueue(now, config, h, queues)
	}
	total, first := 0, priority.LateUrgency
	for service, queue := range queues {
		slices.SortFunc(queue, func(a, b *waiting) int { return priority.CompareStart(a.Item, b.Item) })
		urgency := queue[0].Urgency()
		first = min(first, urgency)
		m.Placer.SetBacklog(now, priority.CountMostUrgent(queue, func(w *waiting) priority.Item { return w.Item }), urgency)
		total += len(queue) - m.start(service, queue, now)
	}
	if total == 0 {
		first = 0
	}
	m.Placer.SetBacklog(now, total, first)
}

// waiting is one item that waits for a slot.
type waiting struct {
	priority.Item
	*held
	index int
	route *routes.Route
}

// enqueue adds a job's waiting items to the queues of their services.
func (m *Manager) enqueue(now time.Time, config *routes.Config, h *held, queues map[string][]*waiting) {
	candidates := h.job.Candidates(now)
	if len(candidates) == 0 {
		return
	}
	record := h.job.Record()
	route, ok := config.Match(record.Host, h.job.Item(0).Path)
	if !ok {
		route, ok = config.Named(record.Route)
	}
	if !ok || route.Kind != routes.Batch {
		m.abandon(now, h, record.ID)
		return
	}
	service := route.Pick(0)
	for _, i := range candidates {
		queues[service] = append(queues[service], &waiting{held: h, index: i, route: route, Item: m.weigh(now, h, i)})
	}
}

// weigh returns an item as it is weighed against others.
func (m *Manager) weigh(now time.Time, h *held, index int) priority.Item {
	r, events := h.job.Record(), h.job.Events(index)
	return priority.Item{
		Slack: m.pace.Slack(now, r.Due, events), Events: events, Accepted: r.Accepted, Key: r.ID + "/" + h.job.Item(index).ID,
	}
}

// abandon gives up the items of a job whose route the operator has removed.
func (m *Manager) abandon(now time.Time, h *held, id string) {
	n := h.job.GiveUpWaiting()
	if h.since.IsZero() {
		h.since = now
	}
	m.Log.Info("items given up", "job", id, "items", n, "cause", "the operator removed the route", "config", m.Config.Version())
}

// start starts the first items of a service's queue where slots are free and
// returns how many.
func (m *Manager) start(service string, queue []*waiting, now time.Time) int {
	placed := m.Placer.PlaceBatch(now, m.ServerDirectory.Usable(service), len(queue))
	for n, s := range placed {
		w := queue[n]
		w.job.Start(w.index)
		ctx, cancel := context.WithCancel(m.ctx)
		one := &run{server: s, cancel: cancel}
		w.runs[w.index] = one
		startedTotal.Inc()
		m.Log.V(1).Info("item placed", "job", w.job.Record().ID, "item", w.job.Item(w.index).ID, "server", s.ID, "slack_ms", w.Slack.Milliseconds(), "waiting", len(queue)-n)
		m.wait.Add(1)
		go m.runItem(ctx, w.held, w.index, one, w.route, service)
	}
	return len(placed)
}

// leave cancels items at servers with more requests than slots: first those
// that can't be in time, then those with the most slack.
func (m *Manager) leave(now time.Time) {
	at := make(map[string]backend.Server)
	type candidate struct {
		priority.Item
		*run
	}
	var candidates []candidate
	leaving := make(map[string]int)
	for _, h := range m.jobs {
		for i, one := range h.runs {
			at[one.server.ID] = one.server
			if one.left {
				leaving[one.server.ID]++
				continue
			}
			candidates = append(candidates, candidate{m.weigh(now, h, i), one})
		}
	}
	if len(at) == 0 {
		return
	}
	servers := make([]backend.Server, 0, len(at))
	for _, s := range at {
		servers = append(servers, s)
	}
	surplus := m.Placer.BatchToPreempt(now, servers)
	if len(surplus) == 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return priority.ComparePreemption(a.Item, b.Item) })
	for _, c := range candidates {
		if surplus[c.server.ID] > leaving[c.server.ID] {
			leaving[c.server.ID]++
			c.left = true
			c.cancel()
			yieldedTotal.Inc()
			m.Log.V(1).Info("item left its slot", "item", c.Key, "server", c.server.ID, "surplus", surplus[c.server.ID], "slack_ms", c.Slack.Milliseconds(), "events", c.Events)
		}
	}
}

// runItem runs one item at one server until its answer is whole, it has to
// leave, or the server fails.
func (m *Manager) runItem(ctx context.Context, h *held, i int, one *run, route *routes.Route, service string) {
	defer m.wait.Done()
	m.mu.Lock()
	item, resume, before := h.job.Item(i), h.job.ResumePoint(i), h.job.Events(i)
	record := h.job.Record()
	m.mu.Unlock()
	call := &exchange.Call{
		ID: item.ID, Method: http.MethodPost, Target: item.Path, Host: record.Host, Fields: item.Fields, Body: item.Body,
		Route: route, Service: service, Received: m.Timer.Now(),
	}
	end := itemrun.Run(ctx, m.Timer, m.Servers, one.server, call, resume, func(found []events.Event) {
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, e := range found {
			h.job.Append(i, e.ID, e.Data)
		}
	})
	if end.Misdirected {
		m.ServerDirectory.MarkMisdirected(one.server)
	}
	one.cancel()
	now := m.Timer.Now()
	m.Placer.EndBatch(now, one.server, end.Outcome)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(h.runs, i)
	switch end.Kind {
	case itemrun.Complete:
		events := h.job.Events(i)
		m.pace.Observe(events, events-before, now.Sub(call.Received))
		if size := h.job.OutputSize(i); size > maxText {
			h.job.GiveUp(i)
			m.Log.Info("item given up", "job", record.ID, "item", item.ID, "cause", "its answer is larger than the store takes", "bytes", size)
			break
		}
		h.job.Finish(i)
	case itemrun.Requeue:
		h.job.Requeue(i)
	case itemrun.RequeueFromStart:
		h.job.DiscardOutput(i)
		h.job.Requeue(i)
	case itemrun.Crashed:
		if rests, until := h.job.RecordCrash(i, now); rests {
			m.Log.Info("item rests", "job", record.ID, "item", item.ID, "until", until, "for_ever", until.IsZero(), "cause", "its runs ended with their servers")
		}
	case itemrun.Failed:
		h.job.DiscardOutput(i)
		if h.job.RecordFailure(i) {
			m.Log.Info("item given up", "job", record.ID, "item", item.ID, "cause", end.Cause)
		}
	case itemrun.Rejected:
		h.job.GiveUp(i)
		m.Log.Info("item given up", "job", record.ID, "item", item.ID, "cause", end.Cause)
	}
	if end.Kind != itemrun.Complete && !one.left && ctx.Err() == nil {
		m.Log.Info("item interrupted", "job", record.ID, "item", item.ID, "server", one.server.ID, "after_event", h.job.ResumePoint(i).After, "cause", end.Cause)
	}
	if h.since.IsZero() && end.Kind.MayFinish() {
		h.since = now
	}
	m.TriggerSchedule()
}
