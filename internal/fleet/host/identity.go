package host

import (
	"crypto/tls"
	"time"

	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/fleet/peer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
)

// identityEvery is how often the files of the identity are looked at.
const identityEvery = 10 * time.Second

// identityConfig returns the TLS configuration between hosts, nil for plain
// TCP, and the subscription that keeps it up to date.
func identityConfig(files *setup.TLSFiles, t timer.Service, note func(kind, why string, subjects ...string)) (*tls.Config, *timer.Subscription, error) {
	if files == nil {
		return nil, nil, nil
	}
	identity, err := peer.LoadIdentity(peer.Files(*files))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	sub := t.Every(identityEvery, func(time.Time) {
		if err := identity.Reload(); err != nil {
			note("certificate not renewed", err.Error())
		}
	})
	return identity.Config(), sub, nil
}
