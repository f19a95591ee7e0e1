package entry

import (
	"sync"
	"time"
)

const (
	// minLapse is the shortest loss of the store in which leases of other hosts can have
	// expired: they are renewed several times in that time.
	minLapse = time.Second
	// lapseMargin is the time that a host may take to write its liveness key again after
	// it has found the store again.
	lapseMargin = time.Second
)

// outage is the last loss of the store, as the renewals of this host's lease show it.
// While the store is away, leases may expire. A liveness key that is missing right after
// it proves nothing: its host has not had the time to write it again.
type outage struct {
	mu sync.Mutex
	// since is when renewals began to fail, zero while they succeed. ended is when the
	// last long outage ended.
	since, ended time.Time
}

// record records whether a renewal or a new lease reached the store.
func (o *outage) record(now time.Time, reached bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !reached && o.since.IsZero():
		o.since = now
	case reached && !o.since.IsZero():
		if now.Sub(o.since) >= minLapse {
			o.ended = now
		}
		o.since = time.Time{}
	}
}

// hidesHosts reports whether the liveness key of a live host may be missing, if hosts
// renew their leases at least every interval.
func (o *outage) hidesHosts(now time.Time, interval time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.since.IsZero() || !o.ended.IsZero() && now.Sub(o.ended) < interval+lapseMargin
}
