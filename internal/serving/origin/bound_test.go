package origin

import (
	"testing"
	"time"
)

func TestOneStreamTakenUpWithoutEndFillsNoTable(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := NewTable(now)
	for i := range 3 * maxStreams {
		table.Begin(now, []string{"x"}, Stream{Service: "s", Software: "v1"}, now.Add(time.Duration(i)*time.Millisecond))
	}
	if n := len(table.order); n > maxStreams {
		t.Errorf("%d entries are kept for one stream, at most %d may be", n, maxStreams)
	}
	if _, known := table.Find(now, []string{"x"}, "s", true); known != Known {
		t.Error("the stream itself was dropped")
	}
}
