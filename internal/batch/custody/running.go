package custody

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/events"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/placing"
)

const (
	// firstSilence is how long an item waits for its first event, which may have
	// to wait in a server's queue.
	firstSilence = 3 * time.Second
	// pauseSilence is how long it waits between events.
	pauseSilence = time.Second
	// maxText bounds the text of an item: it stands in one value of the store.
	maxText = store.MaxValueBytes - 4<<10
	// readSize is the most read from a server at once.
	readSize = 32 << 10
)

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
	total, first := 0, hopelessSlack
	for service, queue := range queues {
		sortWaiting(queue)
		first = min(first, queue[0].urgency())
		m.Placer.SetBacklog(now, m.pressing(queue), queue[0].urgency())
		total += len(queue) - m.start(service, queue, now)
	}
	if total == 0 {
		first = 0
	}
	m.Placer.SetBacklog(now, total, first)
}

// waiting is one item that waits for a slot.
type waiting struct {
	*held
	index int
	route *routes.Route
	// slack is the time by which it can start later and still be in time.
	slack time.Duration
	// events is how many have been produced of it.
	events int64
}

const (
	// hopelessSlack is the urgency of what can't be in time any more: it waits
	// behind everything that can, since being late costs most of its worth once.
	hopelessSlack = time.Hour
	// readAfterDue is how long after its due time a result still counts, since
	// it is read some time later.
	readAfterDue = 500 * time.Millisecond
	// itemTimeStart is the assumed time of an item before one has ended.
	itemTimeStart = 3 * time.Second
)

// urgency is the slack as other hosts are told it.
func (w *waiting) urgency() time.Duration {
	if w.slack < 0 {
		return hopelessSlack
	}
	return w.slack
}

// sortWaiting puts first what has the least slack but can be in time; of the
// rest what needs the least.
func sortWaiting(queue []*waiting) {
	sort.Slice(queue, func(i, j int) bool {
		a, b := queue[i], queue[j]
		if x, y := a.urgency(), b.urgency(); x != y {
			return x < y
		}
		if a.events != b.events {
			return a.events > b.events
		}
		x, y := a.job.Record(), b.job.Record()
		if !x.Accepted.Equal(y.Accepted) {
			return x.Accepted.Before(y.Accepted)
		}
		return x.ID < y.ID || (x.ID == y.ID && a.index < b.index)
	})
}

// pressing returns how many of a queue are as urgent as its first: those that
// can be in time, or all if none can.
func (m *Manager) pressing(queue []*waiting) int {
	n := 0
	for _, w := range queue {
		if (w.slack < 0) == (queue[0].slack < 0) {
			n++
		}
	}
	return n
}

// enqueue adds a job's waiting items to the queues of their services.
func (m *Manager) enqueue(now time.Time, config *routes.Config, h *held, queues map[string][]*waiting) {
	candidates := h.job.Candidates()
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
	for _, c := range candidates {
		queues[service] = append(queues[service], &waiting{
			held: h, index: c.Index, route: route, events: c.Events,
			slack: record.Due.Add(readAfterDue).Sub(now) - m.pace.left(c.Events),
		})
	}
}

// pace is how long items take, learned from those that ended.
type pace struct {
	// events is the mean number of events of an item, each the mean time of one.
	events float64
	each   time.Duration
}

// paceWeight is the weight of the newest item in the means.
const paceWeight = 0.1

// took takes an item that ended: it had so many events, of which a run made
// some in a time.
func (p *pace) took(events, made int64, in time.Duration) {
	if made <= 0 {
		return
	}
	each := in / time.Duration(made)
	if p.each == 0 {
		p.events, p.each = float64(events), each
		return
	}
	p.events += paceWeight * (float64(events) - p.events)
	p.each += time.Duration(paceWeight * float64(each-p.each))
}

// left is the time that an item needs of which so many events were produced.
func (p *pace) left(events int64) time.Duration {
	if p.each == 0 {
		return itemTimeStart
	}
	return time.Duration(max(1, p.events-float64(events)) * float64(p.each))
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
	placed := m.Placer.Rooms(now, m.List.Usable(service), len(queue))
	for n, s := range placed {
		w := queue[n]
		w.job.Start(w.index)
		ctx, cancel := context.WithCancel(m.ctx)
		one := &run{server: s, cancel: cancel}
		w.runs[w.index] = one
		startedTotal.Inc()
		m.Log.V(1).Info("item placed", "job", w.job.Record().ID, "item", w.job.Item(w.index).ID, "server", s.ID, "slack_ms", w.slack.Milliseconds(), "waiting", len(queue)-n)
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
		*run
		job, item string
		slack     time.Duration
		events    int64
	}
	var candidates []candidate
	leaving := make(map[string]int)
	for _, h := range m.jobs {
		due := h.job.Record().Due.Add(readAfterDue)
		for i, one := range h.runs {
			at[one.server.ID] = one.server
			if one.left {
				leaving[one.server.ID]++
				continue
			}
			events := h.job.Events(i)
			candidates = append(candidates, candidate{
				run: one, job: h.job.Record().ID, item: h.job.Item(i).ID, slack: due.Sub(now) - m.pace.left(events), events: events,
			})
		}
	}
	if len(at) == 0 {
		return
	}
	servers := make([]backend.Server, 0, len(at))
	for _, s := range at {
		servers = append(servers, s)
	}
	surplus := m.Placer.Surplus(now, servers)
	if len(surplus) == 0 {
		return
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if (a.slack < 0) != (b.slack < 0) {
			return a.slack < 0
		}
		if a.slack < 0 || a.slack == b.slack {
			return a.events < b.events
		}
		return a.slack > b.slack
	})
	for _, c := range candidates {
		if surplus[c.server.ID] > leaving[c.server.ID] {
			leaving[c.server.ID]++
			c.left = true
			c.cancel()
			yieldedTotal.Inc()
			m.Log.V(1).Info("item left its slot", "job", c.job, "item", c.item, "server", c.server.ID, "surplus", surplus[c.server.ID], "slack_ms", c.slack.Milliseconds(), "events", c.events)
		}
	}
}

// ending is how a run of an item ended.
type ending uint8

const (
	// again puts the item back; what was produced counts.
	again ending = iota
	// afresh puts it back without what was produced.
	afresh
	// crashed puts it back unless too many of its runs ended with their servers.
	crashed
	// whole is the end of the answer.
	whole
	// failed is a failure of the server's own, impossible one that no run mends.
	failed
	impossible
)

// runItem runs one item at one server until its answer is whole, it has to
// leave, or the server fails.
func (m *Manager) runItem(ctx context.Context, h *held, i int, one *run, route *routes.Route, service string) {
	defer m.wait.Done()
	m.mu.Lock()
	item, resume, before := h.job.Item(i), h.job.Progress(i), h.job.Events(i)
	record := h.job.Record()
	m.mu.Unlock()
	call := &exchange.Call{
		ID: item.ID, Method: http.MethodPost, Target: item.Path, Host: record.Host, Fields: item.Fields, Body: item.Body,
		Route: route, Service: service, Received: m.Timer.Now(),
	}
	end, outcome, cause := m.carry(ctx, h, i, one, call, resume)
	if end == again && outcome == placing.Failed && m.Servers.Down(ctx, one.server) {
		end = crashed
	}
	one.cancel()
	now := m.Timer.Now()
	m.Placer.EndedBatch(now, one.server, outcome)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(h.runs, i)
	switch end {
	case whole:
		events := h.job.Events(i)
		m.pace.took(events, events-before, now.Sub(call.Received))
		if size := h.job.Size(i); size > maxText {
			h.job.GiveUp(i)
			m.Log.Info("item given up", "job", record.ID, "item", item.ID, "cause", "its answer is larger than the store takes", "bytes", size)
			break
		}
		h.job.Finish(i)
	case again:
		h.job.Requeue(i)
	case afresh:
		h.job.Restart(i)
		h.job.Requeue(i)
	case crashed:
		if h.job.Crash(i) {
			m.Log.Info("item parked", "job", record.ID, "item", item.ID, "cause", "its runs ended with their servers")
		}
	case failed:
		h.job.Restart(i)
		if h.job.Fail(i) {
			m.Log.Info("item given up", "job", record.ID, "item", item.ID, "cause", cause)
		}
	case impossible:
		h.job.GiveUp(i)
		m.Log.Info("item given up", "job", record.ID, "item", item.ID, "cause", cause)
	}
	if end != whole && !one.left && ctx.Err() == nil {
		m.Log.Info("item interrupted", "job", record.ID, "item", item.ID, "server", one.server.ID, "after_event", h.job.Progress(i).After, "cause", cause)
	}
	if h.since.IsZero() && (end == whole || end == failed || end == impossible) {
		h.since = now
	}
	m.Kick()
}

// carry sends the item and takes its events.
func (m *Manager) carry(ctx context.Context, h *held, i int, one *run, call *exchange.Call, resume exchange.Resume) (ending, placing.Outcome, string) {
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := m.Timer.After(firstSilence, func(time.Time) { cancel() })
	defer func() { silence.Cancel() }()
	reply, err := m.Servers.Send(sending, one.server, call, resume, 0)
	if err != nil {
		var failure *exchange.SendError
		switch {
		case ctx.Err() != nil:
			return again, placing.Unknown, "left"
		case errors.As(err, &failure) && (!failure.Sent || sending.Err() != nil):
			return again, placing.Unreached, err.Error()
		case errors.As(err, &failure) && failure.Reused:
			return again, placing.Unknown, err.Error()
		}
		return again, placing.Failed, err.Error()
	}
	defer func() { _ = reply.Body.Close() }()
	switch {
	case reply.Misdirected:
		m.List.Disown(one.server)
		return again, placing.Unknown, "another server answered"
	case reply.NotRun:
		return again, placing.Full, "no room"
	case reply.Status == http.StatusUnprocessableEntity:
		return impossible, placing.Unknown, "the server says that it can't be done"
	case reply.Status == http.StatusInternalServerError:
		return failed, placing.Unknown, "the server failed"
	case reply.Status != http.StatusOK:
		return again, placing.Failed, http.StatusText(reply.Status)
	}
	sequence := events.Sequence{}
	if resume.Set {
		sequence = events.After(resume.After)
	}
	var splitter events.Splitter
	buffer := make([]byte, readSize)
	for {
		n, err := reply.Body.Read(buffer)
		silence.Cancel()
		silence = m.Timer.After(pauseSilence, func(time.Time) { cancel() })
		found, tooLong := splitter.Add(buffer[:n])
		if tooLong != nil {
			return afresh, placing.Failed, tooLong.Error()
		}
		m.mu.Lock()
		for _, e := range found {
			if !sequence.Take(e) {
				m.mu.Unlock()
				return afresh, placing.Failed, "an event is not the next one"
			}
			h.job.Append(i, e.ID, e.Data)
		}
		m.mu.Unlock()
		switch {
		case errors.Is(err, io.EOF) && len(splitter.Rest()) == 0:
			return whole, placing.Whole, ""
		case ctx.Err() != nil:
			return again, placing.Unknown, "left"
		case err != nil && sending.Err() != nil:
			return again, placing.Unreached, "the server fell silent"
		case err != nil:
			return again, placing.Failed, err.Error()
		}
	}
}
