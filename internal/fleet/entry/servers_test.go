package entry

import (
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestSpecs(t *testing.T) { specs.Run(t, "entry") }

var _ = Describe("the list of servers", func() {
	var (
		handler *serverHandler
		good    = func(key string) store.Entry { return store.Entry{Key: key, Value: []byte("good")} }
		odd     = func(key string) store.Entry { return store.Entry{Key: key, Value: []byte("odd")} }
		known   = func(id string) bool { _, ok := handler.directory.Get(id); return ok }
	)
	BeforeEach(func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		h := New(&setup.Entry{Name: "A", Zone: "a"}, logr.Discard(), clock, Adapter{
			Store: platform.NewKV(clock), ServerID: func(key string) string { return key },
			ParseServer: func(e store.Entry) (backend.Server, error) {
				if string(e.Value) != "good" {
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
})
