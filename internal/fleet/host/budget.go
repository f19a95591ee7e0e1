package host

import "github.com/kingcupquay/kingcupquay/internal/record/store"

// storeRateLimits limits the calls per second that all hosts of the deployment
// together make to the platform's store.
var storeRateLimits = store.Rates{Reads: 1800, Writes: 400}

// storeRateShares returns the number of equal shares that the limits are divided
// into: one per live host, but at most one per shard, since a host without a
// shard makes hardly any calls.
func (h *Host) storeRateShares() int {
	return min(len(h.live()), h.settings.Shards)
}
