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

// maxTransit is the longest time that an order is in transit.
const maxTransit = 3 * time.Second

// delayedOrder is an order in transit.
type delayedOrder struct {
	arrivesAt time.Time
	placement.Action
}

// TestHolders runs a former lease holder, until its lease expires by its own
// clock, concurrently with a new holder with a different desired state. Once an
// engine has received an order of the new holder, no order of the former one may
// take effect there.
func TestHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newZone(rapid.IntRange(2, 8).Draw(t, "engines"))
		for i, name := range z.names {
			z.engines[name].checksFencing = i%2 == 0
		}
		z.setDesired("m@1")
		former := z.planner
		z.planner = placement.NewPlanner(placement.DefaultOptions)
		z.setDesired("m@2")
		takeover := z.now.Add(5 * time.Second)
		formerExpiry := takeover.Add(time.Duration(rapid.IntRange(0, int(lease.DefaultTiming.TTL/time.Millisecond)).Draw(t, "late ms")) * time.Millisecond)
		var inTransit []delayedOrder
		maxFencing := make(map[string]int64)
		tickPlanner := func(p *placement.Planner) {
			for _, a := range p.Tick(z.now) {
				if a.Kind == placement.Read {
					p.RecordRead(z.now, z.now, a.Engine, maps.Clone(z.engines[a.Engine].held))
					continue
				}
				delay := time.Duration(rapid.IntRange(0, int(maxTransit/time.Millisecond)).Draw(t, "transit ms")) * time.Millisecond
				inTransit = append(inTransit, delayedOrder{arrivesAt: z.now.Add(delay), Action: a})
			}
		}
		for tick := range 400 {
			z.now = z.now.Add(step)
			slices.SortStableFunc(inTransit, func(a, b delayedOrder) int { return a.arrivesAt.Compare(b.arrivesAt) })
			for len(inTransit) > 0 && !inTransit[0].arrivesAt.After(z.now) {
				a := inTransit[0].Action
				inTransit = inTransit[1:]
				o := z.engines[a.Engine].order(z.now, a, 0)
				for id := range z.engines[a.Engine].loadEnds {
					z.engines[a.Engine].held[id] = true
				}
				clear(z.engines[a.Engine].loadEnds)
				if o == placement.Accepted && a.Fencing < maxFencing[a.Engine] {
					t.Fatalf("%s accepted an order with fencing token %d after one with %d", a.Engine, a.Fencing, maxFencing[a.Engine])
				}
				maxFencing[a.Engine] = max(maxFencing[a.Engine], a.Fencing)
				if a.Fencing == 7 {
					former.RecordOrderOutcome(z.now, a.Engine, o)
				} else {
					z.planner.RecordOrderOutcome(z.now, a.Engine, o)
				}
			}
			if z.now.Before(formerExpiry) {
				tickPlanner(former)
			}
			if z.now.Equal(takeover) {
				z.planner.LeaseAcquired(z.now, 9, lease.FormerHolderStopTime(z.now, lease.DefaultTiming, maxTransit))
			}
			tickPlanner(z.planner)
			if tick == 399 && !z.holdsExactly("m@2") {
				t.Fatal(fmt.Sprint("engines don't hold the desired artifacts, loading: ", z.loading()))
			}
		}
	})
}
