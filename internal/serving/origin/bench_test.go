package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/origin"
)

// BenchmarkMerge measures the reading of the records of all hosts, each with the
// streams of 57 calls a second for 6 s, and reports their size.
func BenchmarkMerge(b *testing.B) {
	const streamsPerHost = 57 * 6
	now := time.Unix(1e9, 0)
	for _, hosts := range []int{7, 65, 250, 1933} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			texts := make([][]byte, hosts)
			for h := range hosts {
				t := origin.NewTable(now)
				t.Observe(now, "s", []string{"v1", "v2"})
				for i := range streamsPerHost {
					t.Begin(now, []string{fmt.Sprintf("%08x%08x", h, i)}, origin.Stream{Service: "s", Software: "v1"}, now.Add(5*time.Second))
				}
				r, _ := t.NextRecord(now, now)
				text, err := r.Encode()
				if err != nil {
					b.Fatal(err)
				}
				texts[h] = text
			}
			reader := origin.NewTable(now)
			for b.Loop() {
				records := make([]origin.Record, hosts)
				for h, text := range texts {
					var err error
					if records[h], err = origin.DecodeRecord(text); err != nil {
						b.Fatal(err)
					}
				}
				reader.Merge(now, now, records, origin.Record{})
			}
			b.ReportMetric(float64(len(texts[0])), "bytes/record")
		})
	}
}
