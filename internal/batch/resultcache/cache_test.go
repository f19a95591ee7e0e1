package resultcache_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/batch/resultcache"
	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestSpecs(t *testing.T) { specs.Run(t, "resultcache") }

var _ = Describe("Cache", func() {
	It("evicts the least recently used job when it is full", func() {
		s := resultcache.New()
		large := []jobstate.Result{{ID: "i", Text: make([]byte, 5<<20)}}
		now := time.Unix(1000, 0)
		for i, id := range []string{"a", "b"} {
			s.Put(now.Add(time.Duration(i)), jobstate.Record{ID: id}, large)
		}
		_, ok := s.Get(now.Add(5), "a")
		Expect(ok).To(BeTrue())
		s.Put(now.Add(6), jobstate.Record{ID: "c"}, large)
		_, ok = s.Get(now, "b")
		Expect(ok).To(BeFalse())
		for _, id := range []string{"a", "c"} {
			_, ok = s.Get(now, id)
			Expect(ok).To(BeTrue(), id)
		}
	})
})
