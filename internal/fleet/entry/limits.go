package entry

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
)

var limitedAnswersTotal = metrics.NewCounter("kingcupquay_limited_answers_total")

// limitObserver sends calls to servers and observes the limits that their answers
// name.
type limitObserver struct {
	exchange.Servers
	host *Host
}

// Send sends a call and observes the limit of the reply.
func (o *limitObserver) Send(ctx context.Context, s backend.Server, c *exchange.Call, resume exchange.Resume, timeout time.Duration) (*exchange.Reply, error) {
	reply, err := o.Servers.Send(ctx, s, c, resume, timeout)
	if err == nil {
		o.observe(s, c, reply)
	}
	return reply, err
}

// observe takes note of a reply. One that was not run and names no limit says
// nothing about it.
func (o *limitObserver) observe(s backend.Server, c *exchange.Call, reply *exchange.Reply) {
	if reply.RateLimit > 0 {
		limitedAnswersTotal.Inc()
	} else if reply.NotRun {
		return
	}
	if o.host.placer.SetLimit(o.host.timer.Now(), s.ID, reply.RateLimit) {
		o.host.log.Info("limit of a server", "server", s.ID, "request", c.ID, "per_s", reply.RateLimit)
	}
}
