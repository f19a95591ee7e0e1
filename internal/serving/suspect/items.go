package suspect

import (
	"strconv"
	"strings"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
)

// Items of batch jobs under which servers ended have records like bodies, so that a
// new owner of a job knows of them. An item is never refused: it is owed, and servers
// end for reasons of their own. It rests between its runs instead.

const (
	// itemPrefix begins the names of the records of items.
	itemPrefix = "item/"
	// lostRest is how long an item rests after it lost its connection to a server that
	// is not known to have crashed. Most crashes are confirmed in that time.
	lostRest = 200 * time.Millisecond
	// firstItemRest is how long an item rests after each of firstItemRests crashes, from
	// the one that condemns it on, or a lost connection that may turn out to be that one.
	// It is short, as chance may account for so many crashes, and runs
	// within the window after the third are not late. A condemned item rests after a lost
	// connection as after a crash.
	firstItemRest  = time.Second
	firstItemRests = 2
	// itemRest is how long it rests after each of the next shortItemRests crashes: less
	// than the 20 s after which an item that waits beside idle servers counts as
	// forgotten. After each further crash it rests twice as long, up to maxItemRest. Of
	// the three runs that the platform allows later than a window after the third crash,
	// one is left for an owner that ends before it sees the crash of a run.
	itemRest       = 19 * time.Second
	shortItemRests = 2
	maxItemRest    = 10 * time.Minute
)

// ItemName returns the name of the record of an item.
func ItemName(job, item string) string {
	return itemPrefix + strconv.FormatUint(rendezvous.Hash(job+"/"+item), 16)
}

// restAfter returns how long an item rests after the nth crash under it.
func restAfter(n int) time.Duration {
	const (
		long     = condemnAfter + firstItemRests
		doubling = long + shortItemRests
	)
	switch {
	case n < condemnAfter:
		return 0
	case n < long:
		return firstItemRest
	}
	rest := itemRest
	for k := doubling; k <= n && rest < maxItemRest; k++ {
		rest *= 2
	}
	return min(rest, maxItemRest)
}

// RestingItems returns when each item that rests may run again, by its name.
func (g *Registry) RestingItems(now time.Time) map[string]time.Time {
	var resting map[string]time.Time
	rest := func(name string, until time.Time) {
		if now.Before(until) && until.After(resting[name]) {
			if resting == nil {
				resting = make(map[string]time.Time)
			}
			resting[name] = until
		}
	}
	for name, r := range g.records {
		if len(r.Servers) >= condemnAfter && now.Before(r.ExpiresAt) && strings.HasPrefix(name, itemPrefix) {
			rest(name, r.lastCrash().Add(restAfter(len(r.Servers))))
		}
	}
	if len(g.losses) == 0 {
		return resting
	}
	lost := make(map[string]int)
	for _, l := range g.losses {
		if !strings.HasPrefix(l.Body, itemPrefix) || now.Sub(l.At) >= lossTTL {
			continue
		}
		if l.late {
			rest(l.Body, l.At.Add(lostRest))
			continue
		}
		crashes := 0
		if r := g.lookup(now, l.Body); r != nil {
			crashes = len(r.Servers)
		}
		lost[l.Body]++
		rest(l.Body, l.At.Add(restAfterLoss(crashes, lost[l.Body])))
	}
	return resting
}

// restAfterLoss returns how long an item under which servers crashed rests after the
// nth of its lost connections that are not known to be crashes.
func restAfterLoss(crashes, n int) time.Duration {
	switch {
	case crashes+n < condemnAfter:
		return lostRest
	case crashes < condemnAfter:
		return firstItemRest
	}
	return restAfter(crashes + n)
}

// lastCrash returns when the last server ended under the part. It holds for all hosts
// that have the record, as each crash makes it valid for recordTTL.
func (r *Record) lastCrash() time.Time { return r.ExpiresAt.Add(-recordTTL) }

// RestingItems returns when each item that rests may run again, by its ItemName.
func (g *Guard) RestingItems() map[string]time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.RestingItems(g.timer.Now())
}

// CondemnedParts returns when the next item with each condemned part of prompts may run.
// Until it has, others with the part wait for it.
func (g *Guard) CondemnedParts() map[string]time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.timer.Now()
	g.registry.judgeDue(now)
	var parts map[string]time.Time
	for name, r := range g.registry.records {
		if r.condemned && r.Depth != bodyDepth && now.Before(r.ExpiresAt) {
			if parts == nil {
				parts = make(map[string]time.Time)
			}
			parts[name] = r.lastCrash().Add(restAfter(max(condemnAfter, r.Steps)))
		}
	}
	return parts
}

// ItemLost remembers a run of an item that was sent at a time and ended with its
// connection to a server after so many events of its answer, until Ended is called for the server.
func (g *Guard) ItemLost(job string, c *exchange.Call, server string, sentAt time.Time, events int) {
	l := Loss{Server: server, Request: c.ID, Parts: c.SharedParts, LastPart: c.LastPart, Body: ItemName(job, c.ID), Events: events, SentAt: sentAt, At: g.timer.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.RecordLoss(l)
}

// ItemDone records that an item has been answered. whole is set if one server made the
// answer from its start to its end, which proves the parts of its prompt to be sound.
func (g *Guard) ItemDone(job string, c *exchange.Call, whole bool) {
	now := g.timer.Now()
	g.mu.Lock()
	var withdrawn []Record
	if g.registry.ClearedByAnswers(now) {
		withdrawn = g.registry.RecordBodyAnswer(now, ItemName(job, c.ID))
	}
	if whole {
		withdrawn = append(withdrawn, g.registry.RecordAnswer(now, partsOf(c))...)
	}
	g.mu.Unlock()
	g.reportWithdrawn(withdrawn, c.ID)
}
