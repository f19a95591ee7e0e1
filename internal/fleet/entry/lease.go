package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// In a small fleet every host has a liveness key in the store. In a large one only
// the relays have one, and list the hosts that report to them under a second key;
// a host that hears no relay has its own. So the calls grow with the zones.

const (
	// hostPrefix is the prefix of the liveness keys. Each holds the peer address of
	// its host and is deleted when the lease of the host expires.
	hostPrefix = "hosts/"
	// rosterPrefix is the prefix of the keys of the relays' lists, which are names
	// in JSON under the same lease.
	rosterPrefix = "rosters/"
)

const (
	// The TTL of a lease is leasePerHost times the number of hosts with a lease,
	// between minLease and maxLease, so that the rate of all hosts' renewals
	// together stays low.
	leasePerHost = 100 * time.Millisecond
	minLease     = 2500 * time.Millisecond
	maxLease     = 8 * time.Second
	// renewalsPerLease is how many renewals are sent per TTL; all but one may be
	// lost.
	renewalsPerLease = 3
	// leaseCheckInterval is how often a host without a lease checks whether it
	// needs one.
	leaseCheckInterval = 800 * time.Millisecond
	// renewalsPerDiscovery is how many renewals are sent per read of the other
	// hosts' liveness keys.
	renewalsPerDiscovery = 4
)

// keepLease keeps this host's liveness key in the store and reads the addresses
// of the other hosts from theirs, until the host stops.
func (h *Host) keepLease() {
	defer h.wait.Done()
	if !timer.Pause(h.timer, h.ctx.Done(), settlingPeriod) {
		return
	}
	var id store.LeaseID
	var listed []string
	for n := 0; ; n++ {
		pause := leaseCheckInterval
		if h.needsLease() {
			pause = h.renewalInterval()
			renewed := h.renewLease(id)
			if renewed != id {
				listed = nil
			}
			id = renewed
			if h.members.IsRelay(h.timer.Now()) && id != 0 {
				listed = h.writeRoster(id, listed)
			}
			if n%renewalsPerDiscovery == 0 {
				h.discoverHosts()
			}
		} else {
			// The lease expires by itself.
			id = 0
		}
		if !timer.Pause(h.timer, h.ctx.Done(), pause) {
			return
		}
	}
}

// needsLease reports whether this host must have a liveness key: no relay that it
// hears vouches for it.
func (h *Host) needsLease() bool {
	now := h.timer.Now()
	return !h.members.LargeFleet() || h.members.IsRelay(now) || !h.members.HeardRelay(now)
}

// writeRoster writes the names of the hosts that report to this relay if they
// differ from the ones written last, and returns the names that are written.
func (h *Host) writeRoster(id store.LeaseID, written []string) []string {
	var names []string
	for _, m := range h.members.Roster(h.timer.Now()) {
		names = append(names, m.Host)
	}
	if slices.Equal(names, written) {
		return written
	}
	text, err := json.Marshal(names)
	if err != nil {
		h.log.Error(err, "hosts not listed in the store")
		return written
	}
	outcome, err := h.adapter.Store.Commit(h.ctx, store.Txn{Puts: []store.Put{{Key: rosterPrefix + h.settings.Name, Value: text, Lease: id}}})
	if err != nil || !outcome.Succeeded {
		h.log.Info("hosts not listed in the store", "hosts", len(names), "lease", int64(id))
		return written
	}
	return names
}

// missingInStore returns those of the hosts that have no liveness key in the store and
// that no relay lists there. It reads each of the two once, however many hosts it is
// asked for.
func (h *Host) missingInStore(ctx context.Context, hosts []string) ([]string, error) {
	var missing []string
	switch len(hosts) {
	case 0:
		return nil, nil
	case 1:
		_, found, err := h.adapter.Store.Get(ctx, hostPrefix+hosts[0])
		if err != nil {
			return nil, err
		}
		if !found {
			missing = hosts
		}
	default:
		entries, _, err := store.RangeAll(ctx, h.adapter.Store, hostPrefix, 0)
		if err != nil {
			return nil, err
		}
		found := make(map[string]bool, len(entries))
		for _, e := range entries {
			found[e.Key] = true
		}
		missing = slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return found[hostPrefix+host] })
	}
	if len(missing) == 0 || !h.members.LargeFleet() {
		return missing, nil
	}
	listed, err := h.listedInStore(ctx)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(slices.Clone(missing), func(host string) bool { return listed[host] }), nil
}

// listedInStore returns the hosts that relays list in the store.
func (h *Host) listedInStore(ctx context.Context) (map[string]bool, error) {
	entries, _, err := store.RangeAll(ctx, h.adapter.Store, rosterPrefix, 0)
	if err != nil {
		return nil, err
	}
	listed := make(map[string]bool)
	for _, e := range entries {
		var names []string
		if err := json.Unmarshal(e.Value, &names); err != nil {
			h.log.Error(err, "list of hosts can't be read", "key", e.Key)
			continue
		}
		for _, name := range names {
			listed[name] = true
		}
	}
	return listed, nil
}

// renewalInterval is the time between two renewals of a lease.
func (h *Host) renewalInterval() time.Duration { return h.leaseTTL() / renewalsPerLease }

func (h *Host) leaseTTL() time.Duration {
	holders := 1 + len(h.members.Live())
	if h.members.LargeFleet() {
		holders = len(h.members.AllRelays(h.timer.Now()))
	}
	return min(maxLease, max(minLease, leasePerHost*time.Duration(holders)))
}

// renewLease renews the lease with that ID and returns it, also when the outcome
// is unknown. Without a lease, or if it has expired, renewLease gets a new one,
// writes the liveness key and returns the new ID, or 0 if either call failed.
func (h *Host) renewLease(id store.LeaseID) store.LeaseID {
	if id != 0 {
		_, err := h.adapter.Store.KeepAlive(h.ctx, id)
		h.storeOutage.record(h.timer.Now(), err == nil || errors.Is(err, store.ErrLeaseNotFound))
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
	h.storeOutage.record(h.timer.Now(), err == nil)
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

// discoverHosts adds the addresses in the store to those that notices go to. It
// logs once what is no address.
func (h *Host) discoverHosts() {
	entries, err := h.adapter.Store.RangeStale(h.ctx, hostPrefix)
	if err != nil {
		h.log.V(1).Info("hosts not read", "cause", err.Error())
		return
	}
	odd := make(map[string]bool)
	for _, e := range entries {
		address, err := netip.ParseAddrPort(string(e.Value))
		switch {
		case err == nil && address.Port() != 0:
			h.members.AddAddresses(h.timer.Now(), string(e.Value))
			continue
		case !h.oddHosts[e.Key]:
			h.log.Info("address can't be used", "address", fmt.Sprintf("%.40q", e.Value), "cause", "the sign of life is not IP:PORT", "key", e.Key)
		}
		odd[e.Key] = true
	}
	h.oddHosts = odd
}
