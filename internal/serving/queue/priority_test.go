package queue_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/queue"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

var epoch = time.Unix(1_000_000, 0)

var organisations = []string{"agency", "wielwerk", "third"}

// history checks what the actions of a policy mean for its entries.
type history struct {
	entries  map[queue.ID]queue.Entry
	waiting  []queue.ID
	running  []queue.ID
	yielding map[queue.ID]bool
}

func newHistory() *history {
	return &history{entries: map[queue.ID]queue.Entry{}, yielding: map[queue.ID]bool{}}
}

// apply fails t when an action names an entry that can't take it.
func (h *history) apply(t rapid.TB, actions []queue.Action) {
	for _, a := range actions {
		switch a.Kind {
		case queue.Preempt:
			e := h.entries[a.ID]
			if !slices.Contains(h.running, a.ID) || h.yielding[a.ID] || e.NonPreemptible || e.Urgency != request.Batch {
				t.Fatalf("entry %d was told to yield: %+v", a.ID, e)
			}
			h.yielding[a.ID] = true
			continue
		case queue.Start:
			h.running = append(h.running, a.ID)
		case queue.Refuse:
			h.checkRefusal(t, a)
		}
		at := slices.Index(h.waiting, a.ID)
		if at < 0 {
			t.Fatalf("action %d for entry %d, which does not wait", a.Kind, a.ID)
		}
		h.waiting = slices.Delete(h.waiting, at, at+1)
	}
}

func (h *history) checkRefusal(t rapid.TB, a queue.Action) {
	if a.Err.Ran() != result.RanNo || a.Err.RetryAfter() <= 0 {
		t.Fatalf("refusal without a retry time or that ran: %v", a.Err)
	}
	refused := h.entries[a.ID]
	for _, id := range h.waiting {
		e := h.entries[id]
		if a.Err.Code() == result.Overloaded && e.Urgency == refused.Urgency && e.Weight < refused.Weight {
			t.Fatalf("weight %d was refused while weight %d waits", refused.Weight, e.Weight)
		}
	}
}

// check holds between any two calls; bound is the most slots of late.
func (h *history) check(t rapid.TB, c queue.Counts, bound int) {
	online, victims, batch := 0, 0, 0
	for _, id := range h.waiting {
		if h.entries[id].Urgency == request.Online {
			online++
		}
	}
	for _, id := range h.running {
		e := h.entries[id]
		if e.Urgency == request.Batch && !h.yielding[id] {
			batch++
			if !e.NonPreemptible {
				victims++
			}
		}
	}
	occupied := len(h.running) - len(h.yielding)
	switch {
	case online > 0 && victims > 0:
		t.Fatalf("%d online wait beside %d batch entries that may yield", online, victims)
	case occupied > bound:
		t.Fatalf("%d entries occupy %d slots", occupied, bound)
	case len(h.waiting) > 0 && len(h.running) < c.Slots:
		t.Fatalf("%d entries wait beside %d idle slots", len(h.waiting), c.Slots-len(h.running))
	case c != queue.Counts{Running: occupied, Waiting: len(h.waiting), BatchRunning: batch, BatchWaiting: len(h.waiting) - online, Slots: c.Slots}:
		t.Fatalf("counts are %+v, want %d running, %d waiting", c, occupied, len(h.waiting))
	}
}

func (h *history) finish(id queue.ID) {
	h.running = slices.DeleteFunc(h.running, func(other queue.ID) bool { return other == id })
	delete(h.yielding, id)
}

func drawEntry(t *rapid.T, id queue.ID, now time.Time) queue.Entry {
	organisation := rapid.IntRange(0, len(organisations)-1).Draw(t, "organisation")
	e := queue.Entry{
		ID: id, Organisation: organisations[organisation], Share: organisation + 1, Arrived: now,
		Weight: rapid.SampledFrom([]int{1, 50, 1000}).Draw(t, "weight"),
	}
	if rapid.Bool().Draw(t, "online") {
		e.Deadline = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second)
		return e
	}
	e.Urgency = request.Batch
	e.Due = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "due")) * time.Minute)
	e.PromptTokens = rapid.IntRange(0, 50).Draw(t, "prompt")
	e.Preemptions = rapid.IntRange(0, 2).Draw(t, "yields")
	e.NonPreemptible = rapid.IntRange(0, 4).Draw(t, "pinned") == 0
	e.NotResumable = rapid.IntRange(0, 4).Draw(t, "restarts") == 0
	return e
}

// step draws one message for q, gives it to r too if that is not nil, and
// returns both answers.
func step(t *rapid.T, q *queue.PriorityPolicy, r *reference, h *history, now time.Time, id queue.ID) (got, want []queue.Action) {
	kind := rapid.SampledFrom([]string{"offer", "offer", "offer", "finished", "finished", "withdraw", "progress", "resize", "tick"}).Draw(t, "message")
	pick := func(list []queue.ID) (queue.ID, bool) {
		if len(list) == 0 {
			return 0, false
		}
		return rapid.SampledFrom(list).Draw(t, "entry"), true
	}
	switch kind {
	case "offer":
		e := drawEntry(t, id, now)
		h.entries[id] = e
		h.waiting = append(h.waiting, id)
		return q.Offer(now, e), r.offer(now, e)
	case "finished":
		if one, ok := pick(h.running); ok {
			h.finish(one)
			return q.Finished(now, one), r.finished(now, one)
		}
	case "withdraw":
		if one, ok := pick(h.waiting); ok {
			h.waiting = slices.DeleteFunc(h.waiting, func(other queue.ID) bool { return other == one })
			r.drop(one)
			return q.Withdraw(now, one), nil
		}
	case "progress":
		if one, ok := pick(h.running); ok {
			tokens := rapid.IntRange(1, 30).Draw(t, "tokens")
			q.Progress(one, tokens)
			r.progress(one, tokens)
		}
	case "resize":
		slots := rapid.IntRange(0, 5).Draw(t, "slots")
		return q.Resize(now, slots), r.resize(now, slots)
	case "tick":
		return q.Tick(now), r.tick(now)
	}
	return nil, nil
}

func same(a, b []queue.Action) bool {
	return slices.EqualFunc(a, b, func(x, y queue.Action) bool { return x.Kind == y.Kind && x.ID == y.ID })
}

var _ = Describe("Urgent", func() {
	It("decides as the reference does and keeps its invariants", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			slots, limit := rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(1, 6).Draw(t, "limit")
			q, r, h := queue.NewPriorityPolicy(slots, limit), newReference(slots, limit), newHistory()
			now := epoch
			bound := slots
			for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "pass")) * time.Second)
				got, want := step(t, q, r, h, now, queue.ID(i+1))
				if !same(got, want) {
					t.Fatalf("step %d: got %v, want %v", i, got, want)
				}
				h.apply(t, got)
				c := q.Counts()
				bound = max(c.Slots, min(bound, c.Running))
				h.check(t, c, bound)
			}
		})
	})

	It("gives organisations of equal standing their shares, however many each sends", func() {
		q := queue.NewPriorityPolicy(1, 1000)
		h := newHistory()
		started := map[string]int{}
		offer := func(organisation string, share int) {
			e := queue.Entry{ID: queue.ID(len(h.entries) + 1), Organisation: organisation, Share: share, Weight: 50}
			h.entries[e.ID] = e
			h.waiting = append(h.waiting, e.ID)
			h.apply(GinkgoT(), q.Offer(epoch, e))
		}
		for range 600 {
			offer("agency", 1)
		}
		for range 200 {
			offer("wielwerk", 3)
		}
		for range 200 {
			one := h.running[0]
			started[h.entries[one].Organisation]++
			h.finish(one)
			h.apply(GinkgoT(), q.Finished(epoch, one))
		}
		Expect(started["wielwerk"]).To(BeNumerically("~", 150, 2))
	})

	It("does not let one organisation's flood refuse another of equal weight", func() {
		q := queue.NewPriorityPolicy(1, 4)
		for id := range queue.ID(5) {
			Expect(kinds(q.Offer(epoch, queue.Entry{ID: id + 1, Organisation: "agency", Share: 1, Weight: 9}))).NotTo(ContainElement(queue.Refuse))
		}
		Expect(q.Offer(epoch, queue.Entry{ID: 6, Organisation: "agency", Share: 1, Weight: 9})).To(HaveExactElements(HaveField("ID", queue.ID(6))))
		Expect(q.Offer(epoch, queue.Entry{ID: 7, Organisation: "wielwerk", Share: 1, Weight: 9})).To(HaveExactElements(HaveField("ID", queue.ID(5))))
	})

	It("refuses early what the observed service time leaves no room for", func() {
		q := queue.NewPriorityPolicy(1, 100)
		now := epoch
		for id := range queue.ID(16) {
			q.Offer(now, queue.Entry{ID: id + 1, Weight: 9, Share: 1})
			now = now.Add(time.Second)
			q.Finished(now, id+1)
		}
		for id := range queue.ID(4) {
			Expect(kinds(q.Offer(now, queue.Entry{ID: id + 100, Weight: 9, Share: 1, Deadline: now.Add(time.Minute)}))).NotTo(ContainElement(queue.Refuse))
		}
		refused := q.Offer(now, queue.Entry{ID: 200, Weight: 9, Share: 1, Deadline: now.Add(4500 * time.Millisecond)})
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Err.Code()).To(Equal(result.DeadlineTooShort))
		Expect(refused[0].Err.RetryAfter()).To(Equal(4 * time.Second))
		Expect(q.Offer(now, queue.Entry{ID: 201, Weight: 9, Share: 1, Deadline: now.Add(5500 * time.Millisecond)})).To(BeEmpty())
	})

	It("yields each entry a bounded number of times more than the others", func() {
		q := queue.NewPriorityPolicy(2, 100)
		yields := map[string]int{}
		running := map[queue.ID]queue.Entry{}
		serial := queue.ID(0)
		offer := func(e queue.Entry) []queue.Action {
			serial++
			e.ID = serial
			running[e.ID] = e
			return q.Offer(epoch, e)
		}
		batch := queue.Entry{Urgency: request.Batch, Weight: 9, Share: 1}
		for _, one := range []struct {
			name   string
			prompt int
		}{{"short", 10}, {"long", 1000}} {
			batch.Organisation, batch.PromptTokens = one.name, one.prompt
			offer(batch)
		}
		for range 40 {
			actions := offer(queue.Entry{Organisation: "caller", Weight: 9, Share: 1})
			victim := running[actions[0].ID]
			Expect(actions[0].Kind).To(Equal(queue.Preempt))
			yields[victim.Organisation]++
			online := serial
			q.Finished(epoch, actions[0].ID)
			victim.Preemptions++
			offer(victim)
			q.Finished(epoch, online)
		}
		Expect(yields["long"]).To(BeNumerically(">=", 16))
		Expect(yields["short"]).To(BeNumerically(">=", 16))
	})
})

func kinds(actions []queue.Action) []queue.ActionKind {
	list := make([]queue.ActionKind, len(actions))
	for i, a := range actions {
		list[i] = a.Kind
	}
	return list
}

var _ = Describe("Slots", func() {
	It("shrinks once a report lag while the engine queues inside and grows back slowly", func() {
		s := queue.NewAdaptiveSlots(8)
		now := epoch
		s.ObserveQueued(now.Add(-2*time.Second), 3)
		s.ObserveQueued(now.Add(-time.Second), 0)
		s.ObserveQueued(now.Add(-time.Second), 3)
		Expect(s.Current()).To(Equal(8))
		s.ObserveQueued(now, 3)
		s.ObserveQueued(now.Add(time.Second), 3)
		Expect(s.Current()).To(Equal(7))
		s.ObserveQueued(now.Add(2*time.Second), 3)
		Expect(s.Current()).To(Equal(6))
		s.Tick(now.Add(6 * time.Second))
		Expect(s.Current()).To(Equal(6))
		s.Tick(now.Add(7 * time.Second))
		s.Tick(now.Add(8 * time.Second))
		Expect(s.Current()).To(Equal(7))
		for i := range 100 {
			s.ObserveQueued(now.Add(time.Duration(10+3*i)*time.Second), 1)
		}
		Expect(s.Current()).To(Equal(2))
	})

	It("shrinks when tokens come later than their target", func() {
		s := queue.NewAdaptiveSlots(8)
		for range 20 {
			s.ObserveTokenGap(epoch, 20*time.Millisecond)
		}
		s.ObserveTokenGap(epoch, time.Minute)
		Expect(s.Current()).To(Equal(8))
		for range 40 {
			s.ObserveTokenGap(epoch, 60*time.Millisecond)
		}
		Expect(s.Current()).To(Equal(7))
	})
})

var _ = Describe("Naive", func() {
	It("starts in order of arrival, yields nothing and refuses the newcomer", func() {
		q := queue.NewFIFO(1, 2)
		Expect(kinds(q.Offer(epoch, queue.Entry{ID: 1, Urgency: request.Batch}))).To(HaveExactElements(queue.Start))
		Expect(q.Offer(epoch, queue.Entry{ID: 2, Weight: 1})).To(BeEmpty())
		Expect(q.Offer(epoch, queue.Entry{ID: 3, Weight: 9})).To(BeEmpty())
		Expect(kinds(q.Offer(epoch, queue.Entry{ID: 4, Weight: 1000}))).To(HaveExactElements(queue.Refuse))
		Expect(q.Finished(epoch, 1)).To(HaveExactElements(HaveField("ID", queue.ID(2))))
	})
})
