package entry

import (
	"context"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/drain"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/forward"
)

// stopRetryAfter is the retry delay given to a caller whose call a stopping host
// does not run. Another host can serve it at once.
const stopRetryAfter = 100 * time.Millisecond

// errStopping ends the calls that are still running when the last answers of a
// stopping host are due.
var errStopping = result.New(result.Stopping, "this host stops").WithRetry(stopRetryAfter)

// Bound returns a context for the processing of a request. It also ends, with a
// *result.Error as its cause, when the last answers of a stopping host are due.
// The function must be called when the request has been answered.
func (h *Host) Bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(h.ending, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// stopAdmission refuses calls that a stopping host can't expect to end in time.
type stopAdmission Host

var _ forward.Admission = (*stopAdmission)(nil)

// Admit refuses a call that would end too late; see drain.Plan.Accepts.
func (a *stopAdmission) Admit(c *exchange.Call) *result.Error {
	plan, now := a.plan.Load(), a.timer.Now()
	if plan == nil {
		return nil
	}
	need := drain.Need{Deadline: c.EndsBy(), Objective: c.Route.Objective, Repeatable: c.Route.Kind == routes.Repeatable}
	if plan.Accepts(now, need) {
		return nil
	}
	return result.New(result.Stopping, "this host stops, and its last answers are due in %d ms", plan.LastAnswer.Sub(now).Milliseconds()).WithRetry(stopRetryAfter)
}
