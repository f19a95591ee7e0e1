package host

import "github.com/kingcupquay/kingcupquay/internal/record/store"

// storeRates are the calls a second that the deployment's hosts make to the
// platform's store together.
var storeRates = store.Rates{Reads: 1800, Writes: 400}

// storeShares returns into how many equal shares the rates are cut: one for
// each live host, but no more than there are shards, since a host without a
// shard makes next to no calls.
func (h *Host) storeShares() int {
	return min(len(h.live()), h.settings.Shards)
}
