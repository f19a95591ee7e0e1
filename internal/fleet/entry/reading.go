package entry

import (
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/notice"
)

// In a large fleet only the first relay of each zone follows the configuration
// and the list of servers in the store, and passes changes on in its summaries.
// The second relay reads too while the first can't reach the store, and every
// host while it hears no relay.

// settlingPeriod is the time after its start in which a host that hears no relay
// neither polls the store nor writes a liveness key. In a large fleet it hears one
// in this time, and all hosts may start at once.
const settlingPeriod = 1200 * time.Millisecond

// readerAway is for how long the first relay may be without the store before the
// second one reads too.
const readerAway = time.Second

// readers holds what the relays of this host's zone tell of their access to the
// store.
type readers struct {
	mu   sync.Mutex
	away map[string]readerState
}

// readerState is how long a relay had been without the store at a time.
type readerState struct {
	away time.Duration
	at   time.Time
}

func (r *readers) observe(now time.Time, s notice.Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away == nil {
		r.away = make(map[string]readerState)
	}
	r.away[s.Host] = readerState{s.Servers.Away, now}
}

// isAway reports whether a relay has been without the store for readerAway, as
// far as it is heard.
func (r *readers) isAway(now time.Time, host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, known := r.away[host]
	return !known || state.away >= readerAway || now.Sub(state.at) >= readerAway
}

// readsStore reports whether this host follows the store itself.
func (h *Host) readsStore() bool {
	now := h.timer.Now()
	relays := h.members.Relays(now, h.settings.Zone)
	switch {
	case len(relays) == 0:
		return h.settled(now)
	case relays[0].Host == h.settings.Name:
		return true
	case len(relays) > 1 && relays[1].Host == h.settings.Name:
		return h.readers.isAway(now, relays[0].Host)
	}
	return !h.members.HeardRelay(now)
}

// settled reports whether this host has run for settlingPeriod.
func (h *Host) settled(now time.Time) bool { return now.Sub(h.started) >= settlingPeriod }

// readerCount returns how many hosts follow the store: all hosts of a small
// fleet, one of each zone of a large one.
func (h *Host) readerCount() int {
	live := h.members.Live()
	if !h.members.LargeFleet() {
		return 1 + len(live)
	}
	zones := map[string]bool{h.settings.Zone: true}
	for _, m := range live {
		zones[m.Zone] = true
	}
	return len(zones)
}

// fetchConfig asks another host for its configuration in the background. One such
// request runs at a time.
func (h *Host) fetchConfig(address string) {
	if !h.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.fetchingConfig.Store(false)
		text, err := h.peers.requestConfig(h.ctx, address)
		if err != nil {
			h.log.Info("configuration not fetched", "from", address, "cause", err.Error())
			return
		}
		h.applyConfig(text, address)
	}()
}

// fetchServers asks a relay for its list of servers in the background, since this
// host has missed changes. One such request runs at a time.
func (h *Host) fetchServers(address string) {
	if !h.fetchingServers.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.fetchingServers.Store(false)
		list, err := h.peers.requestServers(h.ctx, address)
		if err != nil {
			h.log.Info("servers not fetched", "from", address, "cause", err.Error())
			return
		}
		h.serverFollower.Replace(list)
	}()
}
