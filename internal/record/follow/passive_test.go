package follow_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/follow"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

// These specs feed a follower that does not poll with what another one passes on.
var _ = Describe("an inactive follower", func() {
	var (
		clock *timer.Manual
		r     *recordingHandler
		f     *follow.Follower
	)
	put := func(n int64, value string) store.Event {
		return store.Event{Entry: store.Entry{Key: fmt.Sprint("p/", n), Value: []byte(value), ModRevision: n}}
	}
	BeforeEach(func() {
		clock = timer.NewManual(time.Unix(1000, 0))
		r = &recordingHandler{keys: map[string]string{}, grace: map[string]time.Duration{}}
		never := func() bool { return false }
		f = follow.New(clock, logr.Discard(), &silentStore{KV: platform.NewKV(clock), clock: clock}, prefix, r, never, func() int { return 1 })
		f.Replace(follow.List{Revision: 10, Entries: []store.Entry{{Key: "p/1", Value: []byte("a"), ModRevision: 4}}})
	})

	It("applies changes that follow what it has, each once", func() {
		Expect(f.Apply(follow.Changes{From: 8, To: 12, Events: []store.Event{put(9, "old"), put(11, "b")}})).To(BeTrue())
		Expect(r.snapshot()).To(Equal(map[string]string{"p/1": "a", "p/11": "b"}))
		Expect(f.Apply(follow.Changes{From: 8, To: 11, Events: []store.Event{put(11, "late")}})).To(BeTrue())
		Expect(r.snapshot()).To(HaveKeyWithValue("p/11", "b"))
		Expect(f.Applied()).To(BeNumerically("==", 11))
	})

	It("asks for the list if changes are missing, and takes none that is older than what it has", func() {
		Expect(f.Apply(follow.Changes{From: 11, To: 13, Events: []store.Event{put(12, "c")}})).To(BeFalse())
		Expect(r.snapshot()).To(Equal(map[string]string{"p/1": "a"}))
		f.Replace(follow.List{Revision: 13, Entries: []store.Entry{put(12, "c").Entry}})
		f.Replace(follow.List{Revision: 9, Entries: []store.Entry{put(1, "old").Entry}})
		list, ok := f.List()
		Expect(ok).To(BeTrue())
		Expect(list.Revision).To(BeNumerically("==", 13))
		Expect(list.Entries).To(Equal([]store.Entry{put(12, "c").Entry}))
	})

	It("passes on the changes that it applied itself, as long as they are new", func() {
		Expect(f.Apply(follow.Changes{From: 10, To: 12, Events: []store.Event{put(11, "b")}, Grace: time.Second})).To(BeTrue())
		Expect(f.Changes(10)).To(Equal(follow.Changes{From: 10, To: 12, Events: []store.Event{put(11, "b")}}))
		Expect(f.Changes(11).Events).To(BeEmpty())
		clock.Advance(time.Minute)
		Expect(f.Changes(10)).To(Equal(follow.Changes{From: 11, To: 12}))
	})

	It("passes on an entry that is too large for a message without its value", func() {
		large := put(11, strings.Repeat("[", 1<<20))
		Expect(f.Apply(follow.Changes{From: 10, To: 12, Events: []store.Event{large, put(12, "b")}})).To(BeTrue())
		without := put(11, "")
		without.Value = nil
		Expect(f.Changes(10)).To(Equal(follow.Changes{From: 10, To: 12, Events: []store.Event{without, put(12, "b")}}))
		list, _ := f.List()
		Expect(list.Entries).To(ConsistOf(HaveField("Key", "p/1"), without.Entry, put(12, "b").Entry))
	})

	It("passes on as many changes as fit into a message, the latest ones", func() {
		var events []store.Event
		for n := int64(11); n <= 60; n++ {
			events = append(events, put(n, strings.Repeat("x", 2000)))
		}
		Expect(f.Apply(follow.Changes{From: 10, To: 60, Events: events})).To(BeTrue())
		c := f.Changes(10)
		Expect(len(c.Events) * 2000).To(And(BeNumerically(">", 20_000), BeNumerically("<=", 40<<10)))
		Expect(c.From).To(Equal(60-int64(len(c.Events))), "who has not read up to there has to fetch the list")
		Expect(c.Events).To(Equal(events[len(events)-len(c.Events):]))
	})

	It("needs no list because of changes of other keys", func() {
		Expect(f.Apply(follow.Changes{From: 10, To: 12, Events: []store.Event{put(11, "b")}})).To(BeTrue())
		Expect(f.Apply(follow.Changes{From: 11, To: 50})).To(BeTrue())
		Expect(f.Changes(40)).To(Equal(follow.Changes{From: 11, To: 50}), "another follower that has read up to 12 misses nothing")
	})

	It("does not poll, and polls from where it is once it becomes active", func() {
		kv := platform.NewKV(clock)
		polls := make(chan struct{}, 100)
		kv.SetFaults(func(op string) platform.Fault {
			if op == "poll" {
				polls <- struct{}{}
			}
			return platform.NoFault
		})
		active := make(chan bool, 1)
		active <- false
		isActive := func() bool { now := <-active; active <- now; return now }
		f := follow.New(clock, logr.Discard(), kv, prefix, r, isActive, func() int { return 1 })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		advance := func() { clock.Advance(50 * time.Millisecond) }
		Eventually(func() bool { advance(); _, ok := f.List(); return ok }, waitTimeout, time.Millisecond).Should(BeTrue())
		for range 100 {
			advance()
		}
		Expect(polls).To(BeEmpty())
		<-active
		active <- true
		Eventually(func() int { advance(); return len(polls) }, waitTimeout, time.Millisecond).Should(BeNumerically(">", 0))
		cancel()
		Eventually(func() bool {
			advance()
			select {
			case <-done:
				return true
			default:
				return false
			}
		}, waitTimeout, time.Millisecond).Should(BeTrue())
	})
})
