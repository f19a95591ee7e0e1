package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/fleet/drain"
	"github.com/kingcupquay/kingcupquay/internal/operator/logging"
)

const (
	// maxClosedLines is how many connections a second that this host closed are logged,
	// and maxLeftLines how many of those that others closed: callers may leave in
	// crowds.
	maxClosedLines = 100
	maxLeftLines   = 20
)

// closedTotal counts the connections that ended with a request unanswered.
var closedTotal = func() map[drain.Cause]*metrics.Counter {
	counters := make(map[drain.Cause]*metrics.Counter, len(drain.Causes))
	for _, cause := range drain.Causes {
		counters[cause] = metrics.NewCounter(fmt.Sprintf("kingcupquay_connections_closed_total{cause=%q}", cause))
	}
	return counters
}()

// closedLines limits the lines about connections that ended.
type closedLines struct {
	byHost, byOthers *logging.LineLimit
}

func newClosedLines() closedLines {
	return closedLines{byHost: logging.NewLineLimit(maxClosedLines), byOthers: logging.NewLineLimit(maxLeftLines)}
}

// logClosed returns a function that reports connections of a listener that ended with
// a request unanswered.
func (h *Host) logClosed(listener string) func(drain.Closing) {
	return func(c drain.Closing) {
		closedTotal[c.Cause].Inc()
		limit := h.closedLines.byOthers
		if c.By == drain.ByHost {
			limit = h.closedLines.byHost
		}
		skipped, ok := limit.Take(h.timer.Now())
		if !ok {
			return
		}
		h.log.Info("connection closed", "listener", listener, "request", c.Request, "by", string(c.By), "cause", string(c.Cause), "status", c.Status,
			"bytes_read", c.Read, "bytes_written", c.Written, "bytes_unread", c.Unread, "after_ms", c.After.Milliseconds(), "skipped", skipped)
	}
}
