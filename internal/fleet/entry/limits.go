package entry

import (
	"context"
	"sync"
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

	mu sync.Mutex
	// named holds the limits that were logged, by server.
	named map[string]float64
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
	o.mu.Lock()
	changed := o.named[s.ID] != reply.RateLimit
	if reply.RateLimit > 0 {
		o.named[s.ID] = reply.RateLimit
	} else {
		delete(o.named, s.ID)
	}
	o.mu.Unlock()
	if changed {
		o.host.log.Info("limit of a server", "server", s.ID, "request", c.ID, "per_s", reply.RateLimit)
	}
}
