package exchange

import "context"

// openedKey is the key of the function that WithOpened adds to a context.
type openedKey struct{}

// WithOpened returns a context whose calls of Servers call opened, besides the
// functions that ctx has already, when a new connection to the server was opened,
// long before a server may answer.
func WithOpened(ctx context.Context, opened func()) context.Context {
	return context.WithValue(ctx, openedKey{}, func() {
		opened()
		Opened(ctx)
	})
}

// Opened reports that a new connection was opened for the call with ctx.
func Opened(ctx context.Context) {
	if opened, ok := ctx.Value(openedKey{}).(func()); ok {
		opened()
	}
}
