package origin_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/origin"
)

func FuzzRecord(f *testing.F) {
	for _, seed := range []string{
		`{"written_ms":1,"mixed_ms":{"s":1000},"life_ms":5000,"streams":[{"service":"s","software":"v1","calls":["a","b"]}]}`,
		`{"written_ms":9223372036854775807,"mixed_ms":{"s":-9223372036854775808},"life_ms":9223372036854775807}`,
		`{"written_ms":1e999}`, `{"streams":[null,{"calls":["a"]},{"service":"s","calls":["a"]}]}`, `{"streams":` + strings.Repeat("[", 20_000), "\xff", "null", "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := origin.DecodeRecord(text)
		if err != nil {
			return
		}
		now := time.Unix(1000, 0)
		table := origin.NewTable(now)
		table.Merge(now, now, []origin.Record{r}, r)
		table.Find(now, []string{"a"}, "s", true)
		if _, action := table.NextRecord(now.Add(time.Hour), now.Add(time.Hour)); action == origin.Write {
			t.Fatalf("still mixed after an hour: %s", text)
		}
	})
}

func TestRecordOfTheFutureHoldsNoServiceForMixed(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, ms := range []int64{-1_000_000_000, math.MinInt64, math.MaxInt64} {
		table := origin.NewTable(now)
		table.Merge(now, now, []origin.Record{{WrittenMs: now.UnixMilli(), MixedMs: map[string]int64{"s": ms}}}, origin.Record{})
		later := now.Add(time.Hour)
		if _, action := table.NextRecord(later, later); action == origin.Write {
			t.Errorf("still mixed an hour after a record with %d ms", ms)
		}
	}
}
