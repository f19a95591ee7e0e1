package ledger_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/ledger"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// naiveShard is a reference implementation of Shard without log and failures.
type naiveShard struct{ keys map[string]*naiveKey }

type naiveKey struct {
	attempt, fingerprint     string
	state                    ledger.State
	idempotent               bool
	claimDeadline, expiresAt time.Time
}

const (
	naiveClaimMargin = 2 * time.Second
	naiveRetention   = 90*time.Second + 500*time.Millisecond
)

func (n *naiveShard) resolveDue(now time.Time) {
	for key, k := range n.keys {
		if k.state == ledger.Claimed && !now.Before(k.claimDeadline) {
			k.state, k.expiresAt = ledger.MayHaveRun, now.Add(naiveRetention)
		}
		if k.state != ledger.Claimed && !now.Before(k.expiresAt) {
			delete(n.keys, key)
		}
	}
}

// reopen extends overdue claims so that owners can report to the new holder.
func (n *naiveShard) reopen(now time.Time) {
	for _, k := range n.keys {
		if graceEnd := now.Add(5 * time.Second); k.state == ledger.Claimed && k.claimDeadline.Before(graceEnd) {
			k.claimDeadline = graceEnd
		}
	}
}

func (n *naiveShard) claim(now time.Time, key, attempt, fingerprint string, idempotent bool, wait time.Duration) (result.Code, *naiveKey) {
	k, ok := n.keys[key]
	if ok && k.fingerprint != fingerprint {
		return result.KeyReused, nil
	}
	reclaimable := ok && k.attempt != attempt && (k.state == ledger.NotRun || (k.idempotent && (k.state == ledger.Failed || k.state == ledger.MayHaveRun)))
	if ok && !reclaimable {
		return result.OK, k
	}
	k = &naiveKey{attempt: attempt, fingerprint: fingerprint, state: ledger.Claimed, idempotent: idempotent, claimDeadline: now.Add(wait + naiveClaimMargin)}
	n.keys[key] = k
	return result.OK, k
}

func (n *naiveShard) finish(now time.Time, key, attempt string, state ledger.State) (result.Code, *naiveKey) {
	k, ok := n.keys[key]
	if !ok {
		return result.NotFound, nil
	}
	sameAttempt := k.attempt == attempt
	accepted := k.state == ledger.Claimed && (sameAttempt || k.idempotent && state == ledger.Done)
	accepted = accepted || k.state == ledger.MayHaveRun && (state == ledger.Done && (sameAttempt || k.idempotent) || state == ledger.Failed && sameAttempt)
	if accepted {
		k.attempt, k.state, k.expiresAt = attempt, state, now.Add(naiveRetention)
	}
	return result.OK, k
}

// call passes one message to the latest holder and returns its reply.
func (c *cluster) call(message func(h *holder, t ledger.Ticket) []ledger.Action) reply {
	h := c.holders[len(c.holders)-1]
	h.lastTicket++
	ticket := h.lastTicket
	h.queue = append(h.queue, message(h, ticket)...)
	c.runActions(h)
	for range 200 {
		if r, ok := h.replies[ticket]; ok {
			return r
		}
		h.queue = append(h.queue, h.shard.Tick(c.clock.Now())...)
		c.runActions(h)
		c.clock.Advance(time.Millisecond * 10)
	}
	panic("no answer")
}

func requireSameReply(t *rapid.T, r reply, code result.Code, k *naiveKey) {
	if r.failure != nil || code != result.OK {
		if r.failure == nil || r.failure.Code() != code {
			t.Fatalf("failure %v, naive shard has %v", r.failure, code)
		}
		return
	}
	if r.found.State != k.state || r.found.Attempt != k.attempt {
		t.Fatalf("%v by %s, naive shard has %v by %s", r.found.State, r.found.Attempt, k.state, k.attempt)
	}
}

func TestShardAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, n := newStableCluster(), &naiveShard{keys: make(map[string]*naiveKey)}
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			// Messages start at whole seconds, so that no key falls due in the
			// milliseconds that the shard takes to write.
			c.clock.Advance(start.Add(c.clock.Now().Sub(start).Truncate(time.Second) + time.Second).Sub(c.clock.Now()))
			c.clock.Advance(time.Duration(rapid.IntRange(0, 40).Draw(t, "wait")) * time.Second)
			if rapid.IntRange(0, 9).Draw(t, "reopen") == 0 {
				c.reopen()
				n.reopen(c.clock.Now())
			}
			n.resolveDue(c.clock.Now())
			c.waitUntilIdle()
			now := c.clock.Now()
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(t, "key"))
			attempt := fmt.Sprintf("a%d", rapid.IntRange(0, 3).Draw(t, "attempt"))
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				fingerprint := rapid.SampledFrom([]string{"f", "f", "f", "g"}).Draw(t, "fingerprint")
				idempotent := key == "k0"
				a := c.call(func(h *holder, ticket ledger.Ticket) []ledger.Action {
					return h.shard.Claim(now, ticket, &wire.ClaimRequest{
						Key: key, Attempt: attempt, Fingerprint: []byte(fingerprint), Idempotent: idempotent,
						DeadlineInMs: 20_500, KeepMs: naiveRetention.Milliseconds(),
					})
				})
				code, k := n.claim(now, key, attempt, fingerprint, idempotent, 20*time.Second+500*time.Millisecond)
				requireSameReply(t, a, code, k)
			case 1:
				state := ledger.State(rapid.IntRange(int(ledger.Done), int(ledger.MayHaveRun)).Draw(t, "state"))
				a := c.call(func(h *holder, ticket ledger.Ticket) []ledger.Action {
					return h.shard.Finish(now, ticket, finishOf(key, attempt, state))
				})
				code, k := n.finish(now, key, attempt, state)
				requireSameReply(t, a, code, k)
			default:
				a := c.call(func(h *holder, ticket ledger.Ticket) []ledger.Action { return h.shard.Lookup(ticket, key) })
				k, ok := n.keys[key]
				code := result.OK
				if !ok {
					code = result.NotFound
				}
				requireSameReply(t, a, code, k)
			}
		}
	})
}

// waitUntilIdle ticks the shard at least once and until it is idle.
func (c *cluster) waitUntilIdle() {
	h := c.holders[len(c.holders)-1]
	for first := true; first || !h.shard.Idle(); first = false {
		h.queue = append(h.queue, h.shard.Tick(c.clock.Now())...)
		c.runActions(h)
		c.clock.Advance(10 * time.Millisecond)
	}
}

// reopen crashes the holder and starts a new one from the store.
func (c *cluster) reopen() {
	h := c.holders[len(c.holders)-1]
	h.crashed = true
	_ = c.kv.Revoke(ctx, h.session)
	c.acquire()
}

func (c *cluster) claimAndFinish(key string, body []byte) reply {
	now := c.clock.Now()
	a := c.call(func(h *holder, t ledger.Ticket) []ledger.Action {
		return h.shard.Claim(now, t, &wire.ClaimRequest{
			Key: key, Attempt: "of " + key, Fingerprint: []byte("f"), DeadlineInMs: 1000, KeepMs: time.Hour.Milliseconds(),
		})
	})
	Expect(a.failure).To(BeNil())
	return c.call(func(h *holder, t ledger.Ticket) []ledger.Action {
		return h.shard.Finish(now, t, &wire.FinishRequest{Key: key, Attempt: "of " + key, State: int32(ledger.Done), Answer: body})
	})
}

var _ = Describe("the log of groups", func() {
	It("stays proportional to its live records", func() {
		c := newStableCluster()
		h := c.holders[0]
		for i := range 700 {
			c.claimAndFinish(fmt.Sprintf("k%d", i), []byte("answer"))
			c.clock.Advance(time.Second)
			h.queue = append(h.queue, h.shard.Tick(c.clock.Now())...)
			c.runActions(h)
		}
		entries, _, _ := store.RangeAll(ctx, c.kv, ledger.GroupPrefix(0), 64)
		Expect(len(entries)).To(BeNumerically("<", 200))
		Expect(h.shard.GroupCount()).To(Equal(len(entries)))
		before := h.shard.Len()
		c.reopen()
		Expect(c.holders[1].shard.Len()).To(Equal(before))
		for _, i := range []int{0, 350, 699} {
			found, record := c.lookup(fmt.Sprintf("k%d", i))
			Expect(found.State).To(Equal(ledger.Done))
			Expect(string(record.GetAnswer())).To(Equal("answer"))
		}
		c.clock.Advance(2 * time.Hour)
		c.reopen()
		c.run(c.clock.Now().Sub(start)+10*time.Second, fineStep)
		Expect(c.holders[2].shard.Len()).To(BeZero())
		entries, _, _ = store.RangeAll(ctx, c.kv, ledger.GroupPrefix(0), 64)
		Expect(len(entries)).To(BeNumerically("<", 40))
	})

	It("splits large answers and never writes a value over the limit", func() {
		c := newStableCluster()
		large := make([]byte, 3<<20+17)
		for i := range large {
			large[i] = byte(i * 2654435761 >> 13)
		}
		Expect(c.claimAndFinish("large", large).found.State).To(Equal(ledger.Done))
		found, record := c.lookup("large")
		Expect(found.LastGroup - found.FirstGroup).To(BeNumerically(">=", 4))
		Expect(record.GetAnswer()).To(HaveLen(len(large)))
		Expect(bytes.Equal(record.GetAnswer(), large)).To(BeTrue())
		c.reopen()
		_, record = c.lookup("large")
		Expect(bytes.Equal(record.GetAnswer(), large)).To(BeTrue())
		Expect(c.maxValueBytes).To(BeNumerically("<=", store.MaxValueBytes))
	})

	It("records that an answer was too large to keep", func() {
		c := newStableCluster()
		found := c.claimAndFinish("huge", make([]byte, 9<<20)).found
		Expect(found.State).To(Equal(ledger.Failed))
		_, record := c.lookup("huge")
		Expect(record.GetFailure().GetRan()).To(Equal(string(result.RanYes)))
	})

	It("records a split answer that lost a part as may have run", func() {
		commits := 0
		c := newCluster(func(int) fault {
			commits++
			if commits == 4 {
				return crashBefore
			}
			return noFault
		})
		c.acquire()
		h := c.holders[0]
		a := c.call(func(h *holder, t ledger.Ticket) []ledger.Action {
			return h.shard.Claim(c.clock.Now(), t, &wire.ClaimRequest{Key: "k", Attempt: "a", DeadlineInMs: 1000, KeepMs: time.Hour.Milliseconds()})
		})
		Expect(a.failure).To(BeNil())
		in := &wire.FinishRequest{Key: "k", Attempt: "a", State: int32(ledger.Done), Answer: make([]byte, 2<<20)}
		h.queue = append(h.queue, h.shard.Finish(c.clock.Now(), 77, in)...)
		c.run(30*time.Second, fineStep)
		Expect(h.crashed).To(BeTrue())
		found, _ := c.lookup("k")
		Expect(found.State).To(Equal(ledger.MayHaveRun))
	})
})

var _ = Describe("a busy shard", func() {
	It("writes at most 20 groups a second under any load", func() {
		for _, claimsPerStep := range []int{1, 30, 300} {
			c := newStableCluster()
			h := c.holders[0]
			begin, claimed := c.commits, 0
			for step := range 200 {
				for i := range claimsPerStep {
					h.lastTicket++
					h.queue = append(h.queue, h.shard.Claim(c.clock.Now(), h.lastTicket, &wire.ClaimRequest{
						Key: fmt.Sprintf("k%d-%d", step, i), Attempt: "a", DeadlineInMs: 60_000, KeepMs: 1000,
					})...)
				}
				h.queue = append(h.queue, h.shard.Tick(c.clock.Now())...)
				c.runActions(h)
				c.clock.Advance(10 * time.Millisecond)
			}
			for _, a := range h.replies {
				Expect(a.failure).To(BeNil())
				claimed++
			}
			Expect(c.commits - begin).To(BeNumerically("<=", 41))
			Expect(claimed).To(BeNumerically(">=", 190*claimsPerStep))
		}
	})
})

var _ = Describe("the interval between groups", func() {
	It("limits the writes of all shards together", func() {
		for _, shards := range []int{1, 16, 17, 256, 4096} {
			interval := ledger.CommitInterval(shards)
			Expect(interval).To(BeNumerically(">=", 50*time.Millisecond))
			Expect(float64(shards)/interval.Seconds()).To(BeNumerically("<=", 351), "%d shards", shards)
		}
	})
})

var _ = Describe("an outage of an hour", func() {
	It("keeps pending records bounded, accepts outcomes and writes them afterwards", func() {
		down := false
		c := newCluster(func(int) fault {
			if down {
				return rejectWrite
			}
			return noFault
		})
		c.acquire()
		h := c.holders[0]
		for i := range 40 {
			key := fmt.Sprintf("k%d", i)
			a := c.call(func(h *holder, t ledger.Ticket) []ledger.Action {
				return h.shard.Claim(c.clock.Now(), t, &wire.ClaimRequest{Key: key, Attempt: key, DeadlineInMs: 7200_000, KeepMs: 9e9})
			})
			Expect(a.failure).To(BeNil())
		}
		down = true
		body := []byte(strings.Repeat("x", 100<<10))
		refused, peak := 0, 0
		for i := range 3600 {
			c.step(time.Second)
			if i < 40 {
				key := fmt.Sprintf("k%d", i)
				h.lastTicket++
				h.queue = append(h.queue, h.shard.Finish(c.clock.Now(), h.lastTicket, &wire.FinishRequest{Key: key, Attempt: key, State: int32(ledger.Done), Answer: body})...)
			}
			h.lastTicket++
			ticket := h.lastTicket
			h.queue = append(h.queue, h.shard.Claim(c.clock.Now(), ticket, &wire.ClaimRequest{Key: fmt.Sprintf("n%d", i), Attempt: "n", KeepMs: 1000})...)
			c.runActions(h)
			if a, ok := h.replies[ticket]; ok {
				Expect(a.failure.Ran()).To(Equal(result.RanNo))
				Expect(a.failure.RetryAfter()).To(BeNumerically(">", 0))
				refused++
			}
			peak = max(peak, h.shard.PendingBytes())
		}
		Expect(refused).To(BeNumerically(">", 3590))
		Expect(peak).To(BeNumerically("<", 8<<20))
		down = false
		c.run(c.clock.Now().Sub(start)+10*time.Second, fineStep)
		Expect(h.shard.Idle()).To(BeTrue())
		for i := range 40 {
			found, record := c.lookup(fmt.Sprintf("k%d", i))
			Expect(found.State).To(Equal(ledger.Done))
			Expect(record.GetAnswer()).To(HaveLen(len(body)))
		}
	})
})

var _ = Describe("a lookup", func() {
	It("waits until an answer in a pending group is durable", func() {
		c := newStableCluster()
		h := c.holders[0]
		claim := &wire.ClaimRequest{Key: "k", Attempt: "a", DeadlineInMs: 1000, KeepMs: time.Hour.Milliseconds()}
		c.call(func(h *holder, t ledger.Ticket) []ledger.Action { return h.shard.Claim(c.clock.Now(), t, claim) })
		h.queue = append(h.queue, h.shard.Finish(c.clock.Now(), 70, finishOf("k", "a", ledger.Done))...)
		h.queue = append(h.queue, h.shard.Lookup(71, "k")...)
		c.runActions(h)
		Expect(h.replies).NotTo(HaveKey(ledger.Ticket(71)))
		c.run(time.Second, fineStep)
		Expect(h.replies[71].found.State).To(Equal(ledger.Done))
	})
})

func FuzzDecode(f *testing.F) {
	value, err := ledger.Encode(&wire.Group{Writer: "w/1", Sequence: 1, Records: []*wire.Record{
		{Key: "k", Attempt: "a", State: 1, Parts: 2, Request: &wire.RunRequest{Body: []byte("b")}},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add(value[:len(value)/2])
	f.Add([]byte{})
	f.Add([]byte("not a frame"))
	f.Fuzz(func(t *testing.T, value []byte) {
		group, err := ledger.Decode(value)
		if err != nil {
			return
		}
		s := ledger.Open(ledger.Options{Writer: "w", Host: "h"}, start, []*wire.Group{group})
		s.Tick(start.Add(time.Minute))
	})
}

// compressibleBytes returns n bytes that compress about as well as English text.
func compressibleBytes(random *rand.Rand, n int) []byte {
	var text []byte
	for len(text) < n {
		text = fmt.Appendf(text, "%s ", strconv.FormatUint(random.Uint64N(40_000), 36))
	}
	return text[:n]
}

func BenchmarkGroup(b *testing.B) {
	for _, size := range []int{1, 16, 256, 1024, 4096} {
		b.Run(fmt.Sprintf("records=%d", size), func(b *testing.B) {
			clock := start
			s := ledger.Open(ledger.Options{Writer: "w", Host: "h"}, clock, nil)
			written, calls, serial := 0, 0, 0
			random := rand.New(rand.NewPCG(1, 2))
			bodies := make([][]byte, 4096)
			for i := range bodies {
				bodies[i] = compressibleBytes(random, 512)
			}
			// handle carries out the actions and finishes each durable claim,
			// which adds a second record.
			handle := func(actions []ledger.Action) {
				for len(actions) > 0 {
					action := actions[0]
					actions = actions[1:]
					switch {
					case action.Kind == ledger.CommitGroup:
						value, err := ledger.Encode(action.Group)
						if err != nil {
							b.Fatal(err)
						}
						written += len(value)
						calls++
						actions = append(actions, s.Committed(clock, ledger.Written)...)
					case action.Kind == ledger.ReplyTo && action.Failure != nil:
						b.Fatal(action.Failure)
					case action.Kind == ledger.ReplyTo && action.Found.State == ledger.Claimed:
						found := action.Found
						actions = append(actions, s.Finish(clock, action.Ticket, &wire.FinishRequest{
							Key: found.Key, Attempt: found.Attempt, State: int32(ledger.Done), Answer: bodies[(int(action.Ticket)+2048)%len(bodies)],
						})...)
					}
				}
			}
			for b.Loop() {
				for range size {
					serial++
					handle(s.Claim(clock, ledger.Ticket(serial), &wire.ClaimRequest{
						Key: fmt.Sprintf("organisation/%032d", serial), Attempt: fmt.Sprintf("req-%032d", serial),
						Owner: "host-1", Fingerprint: make([]byte, 32), DeadlineInMs: 10, KeepMs: 1,
						Idempotent: true, Request: &wire.RunRequest{Body: bodies[serial%len(bodies)]},
					}))
				}
				for first := true; first || !s.Idle(); first = false {
					clock = clock.Add(50 * time.Millisecond)
					handle(s.Tick(clock))
				}
			}
			b.ReportMetric(float64(2*serial)/float64(calls), "records/call")
			b.ReportMetric(float64(written)/float64(calls), "bytes/call")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(serial), "ns/request")
		})
	}
}

func BenchmarkOpen(b *testing.B) {
	const groups, records = 100, 1000
	list := make([]*wire.Group, groups)
	for i := range list {
		list[i] = &wire.Group{Sequence: int64(i + 1)}
		for j := range records {
			list[i].Records = append(list[i].Records, &wire.Record{
				Key: fmt.Sprintf("organisation/%036d", i*records+j), Attempt: fmt.Sprintf("req-%036d", i*records+j),
				State: int32(ledger.Done), Fingerprint: make([]byte, 32), Owner: "host-1",
				AtMs: start.UnixMilli(), KeepMs: time.Hour.Milliseconds(),
			})
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	opened := ledger.Open(ledger.Options{Writer: "w", Host: "h"}, start, list)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		ledger.Open(ledger.Options{Writer: "w", Host: "h"}, start, list)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(opened.Len()), "heap-bytes/key")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*opened.Len()), "ns/key")
}
