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

// checker tracks the state of all entries and checks that the actions of a
// policy are valid for them.
type checker struct {
	entries    map[queue.ID]queue.Entry
	waiting    []queue.ID
	running    []queue.ID
	preempting map[queue.ID]bool
}

func newChecker() *checker {
	return &checker{entries: map[queue.ID]queue.Entry{}, preempting: map[queue.ID]bool{}}
}

// apply fails t when an action is not valid for the state of its entry.
func (h *checker) apply(t rapid.TB, actions []queue.Action) {
	for _, a := range actions {
		switch a.Kind {
		case queue.Preempt:
			e := h.entries[a.ID]
			if !slices.Contains(h.running, a.ID) || h.preempting[a.ID] || e.NonPreemptible || e.Urgency != request.Batch {
				t.Fatalf("entry %d must not be preempted: %+v", a.ID, e)
			}
			h.preempting[a.ID] = true
			continue
		case queue.Start:
			h.running = append(h.running, a.ID)
		case queue.Refuse:
			h.checkRefusal(t, a)
		}
		index := slices.Index(h.waiting, a.ID)
		if index < 0 {
			t.Fatalf("action %d for entry %d, which is not waiting", a.Kind, a.ID)
		}
		h.waiting = slices.Delete(h.waiting, index, index+1)
	}
}

func (h *checker) checkRefusal(t rapid.TB, a queue.Action) {
	if a.Err.Ran() != result.RanNo || a.Err.RetryAfter() <= 0 {
		t.Fatalf("refusal without a retry time, or not marked as not run: %v", a.Err)
	}
	refused := h.entries[a.ID]
	for _, id := range h.waiting {
		e := h.entries[id]
		if a.Err.Code() == result.Overloaded && e.Urgency == refused.Urgency && e.Weight < refused.Weight {
			t.Fatalf("weight %d was refused while weight %d waits", refused.Weight, e.Weight)
		}
	}
}

// checkInvariants checks what must hold between any two calls. At most
// maxOccupied slots may be occupied: entries that cannot be preempted keep
// theirs when the number of slots decreases.
func (h *checker) checkInvariants(t rapid.TB, c queue.Counts, maxOccupied int) {
	online, preemptible, batch := 0, 0, 0
	for _, id := range h.waiting {
		if h.entries[id].Urgency == request.Online {
			online++
		}
	}
	for _, id := range h.running {
		e := h.entries[id]
		if e.Urgency == request.Batch && !h.preempting[id] {
			batch++
			if !e.NonPreemptible {
				preemptible++
			}
		}
	}
	occupied := len(h.running) - len(h.preempting)
	switch {
	case online > 0 && preemptible > 0:
		t.Fatalf("%d online entries wait while %d batch entries could be preempted", online, preemptible)
	case occupied > maxOccupied:
		t.Fatalf("%d entries occupy %d slots", occupied, maxOccupied)
	case len(h.waiting) > 0 && len(h.running) < c.Slots:
		t.Fatalf("%d entries wait while %d slots are idle", len(h.waiting), c.Slots-len(h.running))
	case c != queue.Counts{Running: occupied, Waiting: len(h.waiting), BatchRunning: batch, BatchWaiting: len(h.waiting) - online, Slots: c.Slots}:
		t.Fatalf("counts are %+v, want %d running, %d waiting", c, occupied, len(h.waiting))
	}
}

func (h *checker) finish(id queue.ID) {
	h.running = slices.DeleteFunc(h.running, func(other queue.ID) bool { return other == id })
	delete(h.preempting, id)
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

// sendMessage draws one message, sends it to q and r, and returns the actions
// of both.
func sendMessage(t *rapid.T, q *queue.PriorityPolicy, r *reference, h *checker, now time.Time, id queue.ID) (got, want []queue.Action) {
	message := rapid.SampledFrom([]string{"offer", "offer", "offer", "finished", "finished", "withdraw", "progress", "resize", "tick"}).Draw(t, "message")
	pick := func(list []queue.ID) (queue.ID, bool) {
		if len(list) == 0 {
			return 0, false
		}
		return rapid.SampledFrom(list).Draw(t, "entry"), true
	}
	switch message {
	case "offer":
		e := drawEntry(t, id, now)
		h.entries[id] = e
		h.waiting = append(h.waiting, id)
		return q.Offer(now, e), r.offer(now, e)
	case "finished":
		if picked, ok := pick(h.running); ok {
			h.finish(picked)
			return q.Finished(now, picked), r.finished(now, picked)
		}
	case "withdraw":
		if picked, ok := pick(h.waiting); ok {
			h.waiting = slices.DeleteFunc(h.waiting, func(other queue.ID) bool { return other == picked })
			r.remove(picked)
			return q.Withdraw(now, picked), nil
		}
	case "progress":
		if picked, ok := pick(h.running); ok {
			tokens := rapid.IntRange(1, 30).Draw(t, "tokens")
			q.Progress(picked, tokens)
			r.progress(picked, tokens)
		}
	case "resize":
		slots := rapid.IntRange(0, 5).Draw(t, "slots")
		return q.Resize(now, slots), r.resize(now, slots)
	case "tick":
		return q.Tick(now), r.tick(now)
	}
	return nil, nil
}

func sameActions(a, b []queue.Action) bool {
	return slices.EqualFunc(a, b, func(x, y queue.Action) bool { return x.Kind == y.Kind && x.ID == y.ID })
}

var _ = Describe("PriorityPolicy", func() {
	It("decides as the reference does and keeps its invariants", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			slots, limit := rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(1, 6).Draw(t, "limit")
			q, r, h := queue.NewPriorityPolicy(slots, limit), newReference(slots, limit), newChecker()
			now := epoch
			maxOccupied := slots
			for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "pass")) * time.Second)
				got, want := sendMessage(t, q, r, h, now, queue.ID(i+1))
				if !sameActions(got, want) {
					t.Fatalf("step %d: got %v, want %v", i, got, want)
				}
				h.apply(t, got)
				c := q.Counts()
				maxOccupied = max(c.Slots, min(maxOccupied, c.Running))
				h.checkInvariants(t, c, maxOccupied)
			}
		})
	})

	It("gives organisations of equal weight their shares, however many requests each sends", func() {
		q := queue.NewPriorityPolicy(1, 1000)
		h := newChecker()
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
			item := h.running[0]
			started[h.entries[item].Organisation]++
			h.finish(item)
			h.apply(GinkgoT(), q.Finished(epoch, item))
		}
		Expect(started["wielwerk"]).To(BeNumerically("~", 150, 2))
	})

	It("does not refuse an organisation because another of equal weight fills the queue", func() {
		q := queue.NewPriorityPolicy(1, 4)
		for id := range queue.ID(5) {
			Expect(kinds(q.Offer(epoch, queue.Entry{ID: id + 1, Organisation: "agency", Share: 1, Weight: 9}))).NotTo(ContainElement(queue.Refuse))
		}
		Expect(q.Offer(epoch, queue.Entry{ID: 6, Organisation: "agency", Share: 1, Weight: 9})).To(HaveExactElements(HaveField("ID", queue.ID(6))))
		Expect(q.Offer(epoch, queue.Entry{ID: 7, Organisation: "wielwerk", Share: 1, Weight: 9})).To(HaveExactElements(HaveField("ID", queue.ID(5))))
	})

	It("refuses on arrival a request that is expected to miss its deadline", func() {
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

	It("spreads preemptions over the batch entries", func() {
		q := queue.NewPriorityPolicy(2, 100)
		preemptions := map[string]int{}
		running := map[queue.ID]queue.Entry{}
		lastID := queue.ID(0)
		offer := func(e queue.Entry) []queue.Action {
			lastID++
			e.ID = lastID
			running[e.ID] = e
			return q.Offer(epoch, e)
		}
		batch := queue.Entry{Urgency: request.Batch, Weight: 9, Share: 1}
		for _, item := range []struct {
			name   string
			prompt int
		}{{"short", 10}, {"long", 1000}} {
			batch.Organisation, batch.PromptTokens = item.name, item.prompt
			offer(batch)
		}
		for range 40 {
			actions := offer(queue.Entry{Organisation: "caller", Weight: 9, Share: 1})
			victim := running[actions[0].ID]
			Expect(actions[0].Kind).To(Equal(queue.Preempt))
			preemptions[victim.Organisation]++
			online := lastID
			q.Finished(epoch, actions[0].ID)
			victim.Preemptions++
			offer(victim)
			q.Finished(epoch, online)
		}
		Expect(preemptions["long"]).To(BeNumerically(">=", 16))
		Expect(preemptions["short"]).To(BeNumerically(">=", 16))
	})
})

func kinds(actions []queue.Action) []queue.ActionKind {
	list := make([]queue.ActionKind, len(actions))
	for i, a := range actions {
		list[i] = a.Kind
	}
	return list
}

var _ = Describe("AdaptiveSlots", func() {
	It("shrinks once per report delay while requests wait inside the engine and grows back slowly", func() {
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

	It("shrinks when the gaps between tokens exceed the target", func() {
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

var _ = Describe("FIFO", func() {
	It("starts in order of arrival, preempts nothing and refuses the new entry", func() {
		q := queue.NewFIFO(1, 2)
		Expect(kinds(q.Offer(epoch, queue.Entry{ID: 1, Urgency: request.Batch}))).To(HaveExactElements(queue.Start))
		Expect(q.Offer(epoch, queue.Entry{ID: 2, Weight: 1})).To(BeEmpty())
		Expect(q.Offer(epoch, queue.Entry{ID: 3, Weight: 9})).To(BeEmpty())
		Expect(kinds(q.Offer(epoch, queue.Entry{ID: 4, Weight: 1000}))).To(HaveExactElements(queue.Refuse))
		Expect(q.Finished(epoch, 1)).To(HaveExactElements(HaveField("ID", queue.ID(2))))
	})
})
