package entry

import (
	"context"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
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
