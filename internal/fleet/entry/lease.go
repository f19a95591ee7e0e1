package entry

import (
	"errors"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// hostPrefix is above the signs of life of entry hosts; each holds the host's
// peer address and goes with its lease.
const hostPrefix = "hosts/"

const (
	// A sign of life stays for leaseEach a live host after the last renewal, within
	// leaseLeast and leaseMost, so that all hosts' renewals together stay few.
	leaseEach  = 100 * time.Millisecond
	leaseLeast = 2500 * time.Millisecond
	leaseMost  = 8 * time.Second
	// renewals is how many fit into that time; all but one may be lost.
	renewals = 3
	// lookEvery is how many renewals lie between two looks at the other hosts'
	// signs of life.
	lookEvery = 4
)

// lease keeps this host's sign of life in the store, and learns the addresses
// of others from theirs.
func (h *Host) lease() {
	defer h.wait.Done()
	var id store.LeaseID
	for n := 0; ; n++ {
		id = h.renew(id)
		if n%lookEvery == 0 {
			h.look()
		}
		if !timer.Pause(h.timer, h.ctx.Done(), h.leaseTime()/renewals) {
			return
		}
	}
}

func (h *Host) leaseTime() time.Duration {
	return min(leaseMost, max(leaseLeast, leaseEach*time.Duration(1+len(h.book.Live()))))
}

// renew renews the lease or takes a new one; it returns 0 if there is none.
func (h *Host) renew(id store.LeaseID) store.LeaseID {
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
	id, err := h.adapter.Store.Grant(h.ctx, h.leaseTime())
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

func (h *Host) look() {
	entries, err := h.adapter.Store.RangeStale(h.ctx, hostPrefix)
	if err != nil {
		h.log.V(1).Info("hosts not read", "cause", err.Error())
		return
	}
	for _, e := range entries {
		h.book.Learn(h.timer.Now(), string(e.Value))
	}
}
