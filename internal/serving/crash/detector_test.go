package crash_test

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/crash"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

// network simulates the connections of a host.
type network struct {
	exchange.Servers
	mu sync.Mutex
	// refusing are the servers at which nothing listens, silent those whose dials
	// time out. recoversAfter is the number of dials after which all is well.
	refusing, silent string
	recoversAfter    int
	dialled          []string
}

func (n *network) Down(ctx context.Context, s backend.Server) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dialled = append(n.dialled, s.ID)
	recovered := n.recoversAfter > 0 && len(n.dialled) > n.recoversAfter
	switch {
	case !recovered && slices.Contains(strings.Fields(n.refusing), s.ID):
		return true
	case !recovered && slices.Contains(strings.Fields(n.silent), s.ID):
	default:
		exchange.Opened(ctx)
	}
	return false
}

// dials returns the servers that were dialled so far.
func (n *network) dials() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.dialled)
}

// directoryOf returns a directory of servers whose zones are the first letters of
// their IDs.
func directoryOf(ids string) *backend.Directory {
	d := backend.NewDirectory(func(backend.Server, string) {})
	for _, id := range strings.Fields(ids) {
		d.Put(backend.Server{ID: id, Service: "s" + id[1:], Zone: id[:1], Address: "address of " + id})
	}
	return d
}

var _ = Describe("a crash detector", func() {
	DescribeTable("confirms a crash of a1 only if another server is reached", func(listed, refusing, silent string, crashed bool, dialled ...string) {
		n := &network{refusing: refusing, silent: silent}
		directory := directoryOf(listed)
		d := crash.NewDetector(logr.Discard(), n, directory)
		Expect(d.Crashed(context.Background(), backend.Server{ID: "a1", Zone: "a", Address: "address of a1"})).To(Equal(crashed))
		Eventually(n.dials).Should(ConsistOf(dialled))
	},
		Entry("the server is up", "a1 a2 a3", "", "", false, "a1"),
		Entry("the server is silent", "a1 a2 a3", "", "a1", false, "a1"),
		Entry("others of its zone are reached", "a1 a2 a3 b1", "a1", "", true, "a1", "a2", "a3", "a1"),
		Entry("one of its zone is reached", "a1 a2 a3", "a1 a2", "", true, "a1", "a2", "a3", "a1"),
		Entry("all refuse", "a1 a2 a3 b1", "a1 a2 a3 b1", "", false, "a1", "a2", "a3"),
		Entry("the others are silent", "a1 a2 a3 b1", "a1", "a2 a3 b1", false, "a1", "a2", "a3"),
		Entry("all of its zone refuse", "a1 a2 a3 b1", "a1 a2 a3", "", false, "a1", "a2", "a3"),
		Entry("both of a small zone have crashed", "a1 a2 b1", "a1 a2", "", true, "a1", "a2", "b1", "a1"),
		Entry("it is alone in its zone", "a1 b1 c1", "a1", "", true, "a1", "b1", "c1", "a1"),
		Entry("no other is listed", "a1", "a1", "", false, "a1"),
		Entry("it is no longer listed itself", "a2 b1", "a1", "", true, "a1", "a2", "b1", "a1"),
	)

	It("confirms the third crash of a zone by the servers of other zones", Label(specs.KnownRed), func() {
		n := &network{refusing: "a1 a2 a3"}
		d := crash.NewDetector(logr.Discard(), n, directoryOf("a1 a2 a3 b1 c1"))
		Expect(d.Crashed(context.Background(), backend.Server{ID: "a1", Zone: "a", Address: "address of a1"})).To(BeTrue())
	})

	It("does not confirm a crash if the cut ends between its dials", func() {
		n := &network{refusing: "a1 a2 a3", recoversAfter: 1}
		d := crash.NewDetector(logr.Discard(), n, directoryOf("a1 a2 a3"))
		Expect(d.Crashed(context.Background(), backend.Server{ID: "a1", Zone: "a"})).To(BeFalse())
	})

	It("dials at most three others", func() {
		n := &network{refusing: "a4"}
		d := crash.NewDetector(logr.Discard(), n, directoryOf("a1 a2 a3 a4 a5 a6 b1"))
		Expect(d.Crashed(context.Background(), backend.Server{ID: "a4", Zone: "a"})).To(BeTrue())
		Eventually(n.dials).Should(ConsistOf("a4", "a5", "a6", "a1", "a4"))
	})
})
