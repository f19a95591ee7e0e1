package services_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

// textOf returns a text with n organisations, 25 models and 100 back ends.
func textOf(n int) []byte {
	var b bytes.Buffer
	b.WriteString("{\n  \"organisations\": [\n")
	for i := range n {
		separator := ","
		if i == n-1 {
			separator = ""
		}
		fmt.Fprintf(&b, "    {\"name\": \"organisation-%05d\", \"token_sha256\": [\"%x\"], \"concurrency\": 16, \"operator\": %t}%s\n",
			i, sha256.Sum256(fmt.Append(nil, i)), i == 0, separator)
	}
	b.WriteString("  ],\n  \"services\": [\n    {\"name\": \"chat\", \"kind\": \"engine\", \"model\": \"m\", \"urgency\": \"online\", \"weight\": 1, \"idempotent\": true, \"durable\": false}\n  ],\n")
	b.WriteString("  \"backends\": [\n    {\"name\": \"e\", \"kind\": \"engine\", \"zone\": \"z\", \"address\": \"10.0.0.1:80\", \"models\": [\"m\"]}\n  ]\n}\n")
	return b.Bytes()
}

// BenchmarkParse measures a text by its organisations: time, allocations and
// the bytes that stay in use.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000, 44_000} {
		source := textOf(n)
		for name, parse := range map[string]func([]byte, int64) (*services.Text, error){"parse": services.Parse, "check": services.ParseStrict} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				var text *services.Text
				var err error
				for b.Loop() {
					if text, err = parse(source, 1); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(source)), "source-bytes")
				b.ReportMetric(float64(kept(&text)), "kept-bytes")
			})
		}
	}
}

// kept returns the bytes freed when the text goes.
func kept(text **services.Text) int64 {
	var with, without runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&with)
	runtime.KeepAlive(*text)
	*text = nil
	runtime.GC()
	runtime.ReadMemStats(&without)
	return int64(with.HeapAlloc) - int64(without.HeapAlloc)
}
