package distribution_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/distribution"
)

// BenchmarkSpread reports how long, in simulated time, one change takes to reach
// the last of n hosts in 3 zones, and how many bytes of protocol messages a host
// sends for it.
func BenchmarkSpread(b *testing.B) {
	// The delays stand for a small text, a text with 44,000 organisations of which
	// only the changed one is parsed, and one that is parsed as a whole.
	parseDelays := map[string]time.Duration{"small": time.Millisecond, "amended": 31 * time.Millisecond, "44000": 155 * time.Millisecond}
	for _, kind := range []string{"small", "amended", "44000"} {
		for _, perZone := range []int{1, 7, 50, 150} {
			b.Run(fmt.Sprintf("%s/%d", kind, 3*perZone), func(b *testing.B) {
				benchmarkChange(b, perZone, parseDelays[kind])
			})
		}
	}
}

func benchmarkChange(b *testing.B, perZone int, parseDelay time.Duration) {
	var maxLatency time.Duration
	sentBytes, maxHostBytes, changes := 0, 0, 0
	for b.Loop() {
		f := newFleet(3, perZone, uint64(changes))
		f.parseDelay = parseDelay
		f.storeRevision = 1
		f.run(10 * time.Second)
		sentBefore := make(map[string]int)
		for _, h := range f.hosts {
			sentBefore[h.name] = h.sentBytes
		}
		start := f.now
		var lastAdoption time.Time
		f.onAdopt = func(*host) { lastAdoption = f.now }
		f.change()
		f.run(propagationBound)
		if behind := f.behind(2, f.hosts); len(behind) > 0 {
			b.Fatalf("%v are behind", behind)
		}
		maxLatency = max(maxLatency, lastAdoption.Sub(start))
		for _, h := range f.hosts {
			sentBytes += h.sentBytes - sentBefore[h.name]
			maxHostBytes = max(maxHostBytes, h.sentBytes-sentBefore[h.name])
		}
		changes++
	}
	b.ReportMetric(float64(maxLatency.Microseconds())/1000, "ms-to-last")
	b.ReportMetric(float64(sentBytes)/float64(changes*3*perZone), "bytes/host")
	b.ReportMetric(float64(maxHostBytes), "most-bytes")
}

// BenchmarkDelta measures the computation and the application of the delta
// between two texts of 7 MB.
func BenchmarkDelta(b *testing.B) {
	before := bytes.Repeat([]byte("0123456789abcdef"), 440_000)
	after := bytes.Clone(before)
	after[len(after)/2] = 'x'
	b.ReportAllocs()
	for b.Loop() {
		d := distribution.NewDelta(1, 2, before, after)
		if _, ok := d.Apply(before); !ok {
			b.Fatal("the delta does not fit")
		}
	}
}
