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
	reply, err := o.Servers.Send(exchange.WithOpened(ctx, func() { o.host.observeReach(s, true) }), s, c, resume, timeout)
	var failed *exchange.SendError
	// A connection that was opened meanwhile says more than a failure that began
	// before it. A caller that left is no failure of the server.
	if errors.As(err, &failed) && !failed.Sent && ctx.Err() == nil && !o.host.reach.LastConnected().After(began) {
		o.host.observeReach(s, false)
	}
	return reply, err
}

// Down reports whether nothing listens at a server's address, and observes a
// connection that was opened.
func (o *reachObserver) Down(ctx context.Context, s backend.Server) bool {
	return o.Servers.Down(exchange.WithOpened(ctx, func() { o.host.observeReach(s, true) }), s)
}

// observeReach applies the result of opening a connection to a server.
func (h *Host) observeReach(s backend.Server, connected bool) {
	now := h.timer.Now()
	before := h.reach.State()
	if !connected {
		h.reach.SetServers(h.directory.Len())
	}
	if !h.reach.Observe(now, s.ID, connected) {
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

// probeServers dials one server if this host is cut off and a probe is due, so
// that the end of it is noticed without a caller.
func (h *Host) probeServers(now time.Time) {
	if !h.reach.CutOff() {
		return
	}
	var servers []backend.Server
	for _, service := range h.directory.Services() {
		servers = append(servers, h.directory.Usable(service)...)
	}
	if i, due := h.reach.Probe(now, len(servers), int(h.self.Start&0xffff)); due {
		go h.adapter.Servers.Down(h.ctx, servers[i])
	}
}

// CutOff reports whether the host reaches no server.
func (h *Host) CutOff() bool { return h.reach.CutOff() }
