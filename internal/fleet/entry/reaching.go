package entry

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
)

var cutOffTotal = metrics.NewCounter("kingcupquay_cut_off_total")

// reachObserver sends calls to servers and observes whether connections to them
// can be opened.
type reachObserver struct {
	exchange.Servers
	host *Host
}

// Send sends a call and observes whether its connection was opened.
func (o *reachObserver) Send(ctx context.Context, s backend.Server, c *exchange.Call, resume exchange.Resume, timeout time.Duration) (*exchange.Reply, error) {
	began := o.host.timer.Now()
	reply, err := o.Servers.Send(exchange.WithOpened(ctx, func() { o.host.observeReach(s, true, false) }), s, c, resume, timeout)
	var failed *exchange.SendError
	// A connection that was opened meanwhile says more than a failure that began
	// before it. A caller that left is no failure of the server.
	if errors.As(err, &failed) && !failed.Sent && !errors.Is(err, exchange.ErrWithdrawn) && ctx.Err() == nil && !o.host.reach.LastConnected().After(began) {
		o.host.observeReach(s, false, false)
		o.host.probeServers(o.host.timer.Now())
	}
	return reply, err
}

// Down reports whether nothing listens at a server's address, and observes a
// connection that was opened.
func (o *reachObserver) Down(ctx context.Context, s backend.Server) bool {
	return o.Servers.Down(exchange.WithOpened(ctx, func() { o.host.observeReach(s, true, false) }), s)
}

// observeReach applies the result of opening a connection to a server, which
// probeServers picked if probe is set.
func (h *Host) observeReach(s backend.Server, connected, probe bool) {
	h.reachMu.Lock()
	defer h.reachMu.Unlock()
	now := h.timer.Now()
	before := h.reach.State()
	observe := h.reach.Observe
	if probe {
		observe = h.reach.ObserveProbe
	}
	if !observe(now, s.ID, connected) {
		return
	}
	h.applyReach(!connected, before.LastConnected)
	if h.notices != nil {
		h.notices.SetCutOff(!connected)
	}
	if connected {
		h.log.Info("servers reached again", "server", s.ID, "after_ms", now.Sub(before.Since).Milliseconds(), "passed_on", h.passing.takeCount())
		return
	}
	cutOffTotal.Inc()
	state := h.reach.State()
	sinceConnected := int64(-1)
	if !state.LastConnected.IsZero() {
		sinceConnected = now.Sub(state.LastConnected).Milliseconds()
	}
	h.log.Info("cut off from all servers", "not_reached", state.Failed, "last", s.ID, "connected_before_ms", sinceConnected)
}

// probeServers dials the servers that the tracker asks for, so that neither the
// beginning nor the end of a cut needs many callers to be noticed.
func (h *Host) probeServers(now time.Time) {
	if !h.reach.ProbeDue(now) {
		return
	}
	var servers []backend.Server
	for _, service := range h.directory.Services() {
		servers = append(servers, h.directory.Usable(service)...)
	}
	h.reach.SetServers(len(servers))
	for _, i := range h.reach.Probe(now, len(servers), int(h.self.Start&0xffff)) {
		go h.probeServer(servers[i])
	}
}

func (h *Host) probeServer(s backend.Server) {
	began, opened := h.timer.Now(), false
	h.adapter.Servers.Down(exchange.WithOpened(h.ctx, func() { opened = true }), s)
	if opened || h.ctx.Err() == nil && !h.reach.LastConnected().After(began) {
		h.observeReach(s, opened, true)
	}
}

// CutOff reports whether the host reaches no server.
func (h *Host) CutOff() bool { return h.reach.CutOff() }
