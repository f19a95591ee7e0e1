package keeper

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// Counters of all queues on this host.
var (
	starts               = metrics.NewCounter(`kingcupquay_queue_starts_total`)
	preemptions          = metrics.NewCounter(`kingcupquay_queue_yields_total`)
	withdrawals          = metrics.NewCounter(`kingcupquay_queue_withdrawals_total`)
	newConnectionRetries = metrics.NewCounter(`kingcupquay_silent_connections_total`)
	slotChanges          = metrics.NewCounter(`kingcupquay_slot_changes_total`)
	cacheEvents          = metrics.NewCounter(`kingcupquay_cache_events_total`)
	pollFailures         = metrics.NewCounter(`kingcupquay_load_poll_failures_total`)
)

func countRefusal(code result.Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`kingcupquay_queue_refusals_total{code="%d"}`, int(code))).Inc()
}
