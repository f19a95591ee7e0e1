package exchange

import (
	"context"
	"errors"
	"time"
)

// ErrWithdrawn means that a call was not sent since it may not be any more. It says
// nothing about the server.
var ErrWithdrawn = errors.New("withdrawn before its first byte")

// checkKey is the key of the function that WithCheck adds to a context.
type checkKey struct{}

// WithCheck returns a context whose calls of Servers are sent only if may returns true.
// Between the decision to send a call and its first byte there is at least the opening of a
// connection, and the host may stand still meanwhile, so it decides again.
func WithCheck(ctx context.Context, may func() bool) context.Context {
	return context.WithValue(ctx, checkKey{}, func() bool { return may() && MaySend(ctx) })
}

// MaySend reports whether the call with ctx may be sent. Servers call it right before the
// first byte of the call and return ErrWithdrawn, as the cause of a SendError, if not.
func MaySend(ctx context.Context) bool {
	// After a pause, the deadline may have passed and its timer not have fired.
	if deadline, ok := ctx.Deadline(); ctx.Err() != nil || ok && !time.Now().Before(deadline) {
		return false
	}
	may, ok := ctx.Value(checkKey{}).(func() bool)
	return !ok || may()
}
