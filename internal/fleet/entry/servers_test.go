package entry

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/follow"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestSpecs(t *testing.T) { specs.Run(t, "entry") }

var _ = Describe("the list of servers", func() {
	var (
		handler *serverHandler
		lines   []string
		good    = func(key string) store.Entry { return store.Entry{Key: key, Value: []byte("good")} }
		odd     = func(key string) store.Entry { return store.Entry{Key: key, Value: []byte("odd")} }
		known   = func(id string) bool { _, ok := handler.directory.Get(id); return ok }
		oddLine = func() int {
			n := 0
			for _, line := range lines {
				if strings.Contains(line, "entry names no server") {
					n++
				}
			}
			return n
		}
	)
	BeforeEach(func() {
		lines = nil
		clock := timer.NewManual(time.Unix(1000, 0))
		h := New(&setup.Entry{Name: "A", Zone: "a"}, capture(&lines), clock, Adapter{
			Store: platform.NewKV(clock), ServerID: func(key string) string { return key },
			ParseServer: func(e store.Entry) (backend.Server, error) {
				if !strings.HasPrefix(string(e.Value), "good") {
					return backend.Server{}, errors.New("odd")
				}
				return backend.Server{ID: e.Key, Service: "s", Slots: 1}, nil
			},
		})
		handler = (*serverHandler)(h)
	})

	It("loses a server at once whose entry is odd when it is read again after an outage", func() {
		handler.Listed([]store.Entry{good("x"), good("y")}, 0)
		handler.Listed([]store.Entry{odd("x")}, time.Minute)
		Expect(known("x")).To(BeFalse())
		Expect(known("y")).To(BeTrue(), "a missing one may come back")
	})

	It("has no server by an entry that is too large to be passed on to other hosts", func() {
		large := store.Entry{Key: "x", Value: append([]byte("good"), make([]byte, follow.MaxPassedBytes)...)}
		handler.Listed([]store.Entry{good("y"), large}, 0)
		Expect(known("x")).To(BeFalse())
		Expect(known("y")).To(BeTrue())
	})

	It("logs an odd entry once, also if it is written and listed again, until it is good or gone", func() {
		handler.Listed([]store.Entry{odd("x"), odd("y"), good("z")}, 0)
		Expect(oddLine()).To(Equal(2))
		for range 10 {
			handler.Listed([]store.Entry{odd("x"), odd("y"), good("z")}, 0)
			handler.Changed(store.Event{Entry: odd("x")}, 0)
		}
		Expect(oddLine()).To(Equal(2))
		handler.Changed(store.Event{Entry: good("x")}, 0)
		handler.Changed(store.Event{Entry: odd("x")}, 0)
		Expect(oddLine()).To(Equal(3))
		handler.Changed(store.Event{Entry: odd("x"), Deleted: true}, 0)
		handler.Changed(store.Event{Entry: odd("x")}, 0)
		Expect(oddLine()).To(Equal(4))
		handler.Listed(nil, 0)
		handler.Listed([]store.Entry{odd("y")}, 0)
		Expect(oddLine()).To(Equal(5))
	})
})

// capture returns a logger that appends its lines to lines.
func capture(lines *[]string) logr.Logger {
	return funcr.New(func(_, line string) { *lines = append(*lines, line) }, funcr.Options{})
}
