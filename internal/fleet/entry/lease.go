package entry

import (
	"errors"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// hostPrefix is the prefix of the liveness keys of entry hosts. Each holds the
// peer address of its host and is deleted when the lease of the host expires.
const hostPrefix = "hosts/"

const (
	// The TTL of a lease is leasePerHost times the number of live hosts, between
	// minLease and maxLease, so that the rate of all hosts' renewals together
	// stays low.
	leasePerHost = 100 * time.Millisecond
	minLease     = 2500 * time.Millisecond
	maxLease     = 8 * time.Second
	// renewalsPerLease is how many renewals are sent per TTL; all but one may be
	// lost.
	renewalsPerLease = 3
	// renewalsPerDiscovery is how many renewals are sent per read of the other
	// hosts' liveness keys.
	renewalsPerDiscovery = 4
)

// keepLease keeps this host's liveness key in the store and reads the addresses
// of the other hosts from theirs, until the host stops.
func (h *Host) keepLease() {
	defer h.wait.Done()
	var id store.LeaseID
	for n := 0; ; n++ {
		id = h.renewLease(id)
		if n%renewalsPerDiscovery == 0 {
			h.discoverHosts()
		}
		if !timer.Pause(h.timer, h.ctx.Done(), h.leaseTTL()/renewalsPerLease) {
			return
		}
	}
}

func (h *Host) leaseTTL() time.Duration {
	return min(maxLease, max(minLease, leasePerHost*time.Duration(1+len(h.members.Live()))))
}

// renewLease renews the lease with that ID and returns it, also when the outcome
// is unknown. Without a lease, or if it has expired, renewLease gets a new one,
// writes the liveness key and returns the new ID, or 0 if either call failed.
func (h *Host) renewLease(id store.LeaseID) store.LeaseID {
	if id != 0 {
		_, err := h.adapter.Store.KeepAlive(h.ctx, id)
		if err == nil {
			return id
		}
		if !errors.Is(err, store.ErrLeaseNotFound) {
			h.log.V(1).Info("lease not renewed", "cause", err.Error())
			return id
		}
		h.log.Info("lease lost", "lease", int64(id))
	}
	id, err := h.adapter.Store.Grant(h.ctx, h.leaseTTL())
	if err != nil {
		h.log.V(1).Info("no lease", "cause", err.Error())
		return 0
	}
	outcome, err := h.adapter.Store.Commit(h.ctx, store.Txn{
		Puts: []store.Put{{Key: hostPrefix + h.settings.Name, Value: []byte(h.settings.PeerAddress), Lease: id}},
	})
	if err != nil || !outcome.Succeeded {
		h.log.Info("sign of life not written", "lease", int64(id))
		return 0
	}
	h.log.Info("lease won", "lease", int64(id), "revision", outcome.Revision)
	return id
}

// discoverHosts adds the addresses in the store to those that notices go to.
func (h *Host) discoverHosts() {
	entries, err := h.adapter.Store.RangeStale(h.ctx, hostPrefix)
	if err != nil {
		h.log.V(1).Info("hosts not read", "cause", err.Error())
		return
	}
	for _, e := range entries {
		h.members.AddAddresses(h.timer.Now(), string(e.Value))
	}
}
