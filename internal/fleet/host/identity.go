package host

import (
	"crypto/tls"
	"time"

	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/fleet/peer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
)

// identityReloadInterval is how often the certificate files are checked for
// changes.
const identityReloadInterval = 10 * time.Second

// identityConfig returns the TLS configuration for connections between hosts,
// nil for plain TCP, and the subscription that reloads its files.
func identityConfig(files *setup.TLSFiles, t timer.Service, note func(kind, reason string, subjects ...string)) (*tls.Config, *timer.Subscription, error) {
	if files == nil {
		return nil, nil, nil
	}
	identity, err := peer.LoadIdentity(peer.TLSFiles(*files))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	sub := t.Every(identityReloadInterval, func(time.Time) {
		if err := identity.Reload(); err != nil {
			note("certificate not renewed", err.Error())
		}
	})
	return identity.Config(), sub, nil
}
