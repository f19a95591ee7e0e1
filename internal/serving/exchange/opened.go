package exchange

import "context"

// openedKey is the key of the functions that WithOpened adds to a context.
type openedKey struct{}

// WithOpened returns a context whose calls of Servers call opened when a new
// connection to the server was opened, long before a server may answer. Functions
// that ctx has already are called too.
func WithOpened(ctx context.Context, opened func()) context.Context {
	earlier, _ := ctx.Value(openedKey{}).([]func())
	return context.WithValue(ctx, openedKey{}, append(earlier[:len(earlier):len(earlier)], opened))
}

// Opened reports that a new connection was opened for the call with ctx.
func Opened(ctx context.Context) {
	list, _ := ctx.Value(openedKey{}).([]func())
	for _, opened := range list {
		opened()
	}
}
