package custody

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
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
	waiting, slack := 0, time.Duration(0)
	for _, h := range m.byDue() {
		n := h.job.Waiting()
		if n == 0 {
			continue
		}
		record := h.job.Record()
		route, ok := config.Match(record.Host, h.job.Item(0).Path)
		if !ok {
			route, ok = config.Named(record.Route)
		}
		if !ok || route.Kind != routes.Batch {
			m.abandon(now, h, record.ID)
			continue
		}
		if waiting == 0 {
			slack = record.Due.Sub(now)
			m.Placer.SetBacklog(now, n, slack)
		}
		waiting += n - m.start(now, h, route, n)
	}
	m.Placer.SetBacklog(now, waiting, slack)
}

// abandon gives up the items of a job whose route the operator has removed.
func (m *Manager) abandon(now time.Time, h *held, id string) {
	n := h.job.GiveUpWaiting()
	if h.since.IsZero() {
		h.since = now
	}
	m.Log.Info("items given up", "job", id, "items", n, "cause", "the operator removed the route", "config", m.Config.Version())
}

// byDue returns the jobs that have work, the one due first first.
func (m *Manager) byDue() []*held {
	var list []*held
	for _, h := range m.jobs {
		if !h.job.Over() {
			list = append(list, h)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i].job.Record(), list[j].job.Record()
		if !a.Due.Equal(b.Due) {
			return a.Due.Before(b.Due)
		}
		return a.ID < b.ID
	})
	return list
}

// start starts items of one job where slots are free and returns how many.
func (m *Manager) start(now time.Time, h *held, route *routes.Route, waiting int) int {
	service := route.Pick(0)
	placed := m.Placer.Rooms(now, m.List.Usable(service), waiting)
	for n, s := range placed {
		i, ok := h.job.Next()
		if !ok {
			for _, unused := range placed[n:] {
				m.Placer.EndedBatch(now, unused, placing.Unknown)
			}
			return n
		}
		ctx, cancel := context.WithCancel(m.ctx)
		one := &run{server: s, cancel: cancel}
		h.runs[i] = one
		startedTotal.Inc()
		m.wait.Add(1)
		go m.runItem(ctx, h, i, one, route, service)
	}
	return len(placed)
}

// leave cancels items at servers with more requests than slots: those of the
// job due last first, of them the one with the least progress.
func (m *Manager) leave(now time.Time) {
	at := make(map[string]backend.Server)
	type candidate struct {
		*run
		due      time.Time
		progress int64
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
			candidates = append(candidates, candidate{one, h.job.Record().Due, h.job.Progress(i).After})
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
		if !candidates[i].due.Equal(candidates[j].due) {
			return candidates[i].due.After(candidates[j].due)
		}
		return candidates[i].progress < candidates[j].progress
	})
	for _, c := range candidates {
		if surplus[c.server.ID] > leaving[c.server.ID] {
			leaving[c.server.ID]++
			c.left = true
			c.cancel()
			yieldedTotal.Inc()
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
	item, resume := h.job.Item(i), h.job.Progress(i)
	record := h.job.Record()
	m.mu.Unlock()
	call := &exchange.Call{
		ID: item.ID, Method: http.MethodPost, Target: item.Path, Host: record.Host, Fields: item.Fields, Body: item.Body,
		Route: route, Service: service, Received: m.Timer.Now(),
	}
	end, outcome, cause := m.carry(ctx, h, i, one, call, resume)
	one.cancel()
	now := m.Timer.Now()
	m.Placer.EndedBatch(now, one.server, outcome)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(h.runs, i)
	switch end {
	case whole:
		h.job.Finish(i)
	case again:
		h.job.Requeue(i)
	case afresh:
		h.job.Restart(i)
		h.job.Requeue(i)
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
