package placement_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/record/lease"
	"github.com/kingcupquay/kingcupquay/internal/serving/placement"
)

// transit bounds how long an order is on its way.
const transit = 3 * time.Second

// late is an order on its way.
type late struct {
	at time.Time
	placement.Action
}

// TestHolders lets a former holder go on until its lease is over by its own
// clock, beside a new one that wants something else. Once the new holder has
// ordered an engine, no order of the former one takes effect there.
func TestHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newZone(rapid.IntRange(2, 8).Draw(t, "engines"))
		for i, name := range z.names {
			z.engines[name].checks = i%2 == 0
		}
		z.want("m@1")
		former := z.planner
		z.planner = placement.NewPlanner(placement.DefaultOptions)
		z.want("m@2")
		takeover := z.now.Add(5 * time.Second)
		stops := takeover.Add(time.Duration(rapid.IntRange(0, int(lease.DefaultTerms.TTL/time.Millisecond)).Draw(t, "late ms")) * time.Millisecond)
		var flying []late
		newest := make(map[string]int64)
		run := func(p *placement.Planner) {
			for _, a := range p.Tick(z.now) {
				if a.Kind == placement.Read {
					p.RecordRead(z.now, z.now, a.Engine, maps.Clone(z.engines[a.Engine].held))
					continue
				}
				delay := time.Duration(rapid.IntRange(0, int(transit/time.Millisecond)).Draw(t, "transit ms")) * time.Millisecond
				flying = append(flying, late{at: z.now.Add(delay), Action: a})
			}
		}
		for tick := range 400 {
			z.now = z.now.Add(step)
			slices.SortStableFunc(flying, func(a, b late) int { return a.at.Compare(b.at) })
			for len(flying) > 0 && !flying[0].at.After(z.now) {
				a := flying[0].Action
				flying = flying[1:]
				o := z.engines[a.Engine].order(z.now, a, 0)
				for id := range z.engines[a.Engine].ends {
					z.engines[a.Engine].held[id] = true
				}
				clear(z.engines[a.Engine].ends)
				if o == placement.Accepted && a.Fencing < newest[a.Engine] {
					t.Fatalf("%s took an order of %d after one of %d", a.Engine, a.Fencing, newest[a.Engine])
				}
				newest[a.Engine] = max(newest[a.Engine], a.Fencing)
				if a.Fencing == 7 {
					former.RecordOrderOutcome(z.now, a.Engine, o)
				} else {
					z.planner.RecordOrderOutcome(z.now, a.Engine, o)
				}
			}
			if z.now.Before(stops) {
				run(former)
			}
			if z.now.Equal(takeover) {
				z.planner.LeaseAcquired(z.now, 9, lease.WaitOut(z.now, lease.DefaultTerms, transit))
			}
			run(z.planner)
			if tick == 399 && !z.whole("m@2") {
				t.Fatal(fmt.Sprint("not settled: ", z.loading()))
			}
		}
	})
}
