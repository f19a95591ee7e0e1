package spread_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/spread"
)

// BenchmarkSpread reports, in manual time, how long one change of one
// organisation takes to the last of n hosts in 3 zones, and the bytes of
// protocol messages that a host sends for it.
func BenchmarkSpread(b *testing.B) {
	parses := map[string]time.Duration{"small": time.Millisecond, "amended": 31 * time.Millisecond, "44000": 155 * time.Millisecond}
	for _, kind := range []string{"small", "amended", "44000"} {
		for _, perZone := range []int{1, 7, 50, 150} {
			b.Run(fmt.Sprintf("%s/%d", kind, 3*perZone), func(b *testing.B) {
				measure(b, perZone, parses[kind])
			})
		}
	}
}

func measure(b *testing.B, perZone int, parse time.Duration) {
	var worst time.Duration
	sent, most, changes := 0, 0, 0
	for b.Loop() {
		f := newFleet(3, perZone, uint64(changes))
		f.parse = parse
		f.store = 1
		f.run(10 * time.Second)
		before := make(map[string]int)
		for _, h := range f.hosts {
			before[h.name] = h.sent
		}
		begin := f.now
		var last time.Time
		f.adopted = func(*host) { last = f.now }
		f.change()
		f.run(bound)
		if behind := f.behind(2, f.hosts); len(behind) > 0 {
			b.Fatalf("%v are behind", behind)
		}
		worst = max(worst, last.Sub(begin))
		for _, h := range f.hosts {
			sent += h.sent - before[h.name]
			most = max(most, h.sent-before[h.name])
		}
		changes++
	}
	b.ReportMetric(float64(worst.Microseconds())/1000, "ms-to-last")
	b.ReportMetric(float64(sent)/float64(changes*3*perZone), "bytes/host")
	b.ReportMetric(float64(most), "most-bytes")
}

// BenchmarkDelta measures what a host does for a change of a text of 7 MB
// besides reading it: the delta to keep, and one that it was given.
func BenchmarkDelta(b *testing.B) {
	before := bytes.Repeat([]byte("0123456789abcdef"), 440_000)
	after := bytes.Clone(before)
	after[len(after)/2] = 'x'
	b.ReportAllocs()
	for b.Loop() {
		d := spread.Between(1, 2, before, after)
		if _, ok := d.Apply(before); !ok {
			b.Fatal("the delta does not fit")
		}
	}
}
