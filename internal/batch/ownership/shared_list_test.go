package ownership_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/batch/ownership"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

var _ = Describe("readers of the store that share a cached list", func() {
	const total = 3
	// putListed writes the record and the last part of a job of host "gone" with n results.
	putListed := func(f *fleet, id string, n int) {
		GinkgoHelper()
		r := jobstate.Record{ID: id, Route: "r", Host: "a.example", Serial: int64(n + 1), Writer: "gone/1", Total: total, Listed: n, ResultParts: n, Accepted: f.clock.Now()}
		text, err := r.Encode()
		Expect(err).NotTo(HaveOccurred())
		txn := store.Txn{Puts: []store.Put{{Key: jobstate.RecordKey(id), Value: text}}}
		if n > 0 {
			parts, err := jobstate.SplitResults([]jobstate.Result{{ID: fmt.Sprint(n - 1), Done: true, Text: []byte("text")}})
			Expect(err).NotTo(HaveOccurred())
			txn.Puts = append(txn.Puts, store.Put{Key: jobstate.ResultKey(id, n-1), Value: parts[0]})
		}
		_, err = f.kv.Commit(ctx, txn)
		Expect(err).NotTo(HaveOccurred())
	}

	// removeListed removes a job, so that later reads of the store take no longer.
	removeListed := func(f *fleet, id string) {
		GinkgoHelper()
		deletes := []string{jobstate.RecordKey(id)}
		for part := range total {
			deletes = append(deletes, jobstate.ResultKey(id, part))
		}
		_, err := f.kv.Commit(ctx, store.Txn{Deletes: deletes})
		Expect(err).NotTo(HaveOccurred())
	}

	// play carries out a sequence of steps: a digit is the next step of that reader, up to
	// its next call to the store or its end; w lists one more result. It returns what was
	// wrong with the pages.
	play := func(f *fleet, id, steps string, listed int, from [2]int) (wrong []string) {
		h := f.hosts["C"]
		arrived := make(chan chan struct{})
		h.beforeCall.set(func(string) {
			opened := make(chan struct{})
			arrived <- opened
			<-opened
		})
		type reader struct {
			next  chan struct{}
			known int
			page  ownership.ResultPage
			ok    bool
			ended chan struct{}
		}
		var list [2]reader
		seen := 0
		step := func(n int) {
			r := &list[n]
			switch {
			case r.ended == nil:
				r.ended, r.known = make(chan struct{}), seen
				go func() {
					defer close(r.ended)
					r.page, r.ok = h.read(id, from[n])
				}()
				// The first call only shows that the job has no owner.
				select {
				case first := <-arrived:
					close(first)
				case <-r.ended:
				}
			case r.next == nil:
				return
			default:
				close(r.next)
				r.next = nil
			}
			select {
			case r.next = <-arrived:
				return
			case <-r.ended:
			}
			if !r.ok {
				wrong = append(wrong, fmt.Sprintf("reader %d got no page", n))
			}
			if len(r.page.Results) == 0 && from[n] < r.known {
				wrong = append(wrong, fmt.Sprintf("reader %d got no result at position %d of %d", n, from[n], r.known))
			}
			for i, res := range r.page.Results {
				if res.ID != fmt.Sprint(from[n]+i) {
					wrong = append(wrong, fmt.Sprintf("reader %d got %s at position %d", n, res.ID, from[n]+i))
				}
			}
			if len(r.page.Results) > 0 {
				seen = max(seen, r.page.Next)
			}
		}
		for _, s := range steps {
			if s == 'w' {
				listed++
				putListed(f, id, listed)
				continue
			}
			step(int(s - '0'))
		}
		for n := range list {
			for range 5 {
				step(n)
			}
		}
		h.beforeCall.set(nil)
		for after := range seen {
			if page, ok := h.read(id, after); !ok || len(page.Results) == 0 || page.Results[0].ID != fmt.Sprint(after) {
				wrong = append(wrong, fmt.Sprintf("a later reader got no result at position %d of %d", after, seen))
			}
		}
		return wrong
	}

	// Guards against a cached list that a reader with an older record shortens.
	It("are shown what was read before in every order of their steps", func() {
		f := newFleet("C")
		f.noScanners.Store(true)
		orders := interleavings(map[rune]int{'0': 3, '1': 3, 'w': 2})
		n := 0
		for _, cached := range []bool{false, true} {
			for _, steps := range orders {
				for _, from := range [][2]int{{0, 1}, {1, 2}} {
					n++
					id := fmt.Sprint("j", n)
					putListed(f, id, 0)
					putListed(f, id, 1)
					if cached {
						_, ok := f.hosts["C"].read(id, 0)
						Expect(ok).To(BeTrue())
					}
					Expect(play(f, id, steps, 1, from)).To(BeEmpty(), "steps %s, positions %v, cached %v", steps, from, cached)
					removeListed(f, id)
				}
			}
		}
		Expect(n).To(Equal(2 * 2 * 560))
	})

	// Guards against a cached list that is read while another reader changes its record.
	It("may read at the same time", func() {
		f := newFleet("C")
		f.noScanners.Store(true)
		putListed(f, "j", 0)
		putListed(f, "j", 1)
		done := make(chan bool, 8)
		for range cap(done) {
			go func() {
				sound := true
				for range 500 {
					page, ok := f.hosts["C"].read("j", 1)
					sound = sound && ok && page.Next == 1
				}
				done <- sound
			}()
		}
		for range cap(done) {
			Expect(<-done).To(BeTrue())
		}
	})
})

// interleavings returns all sequences with a number of each rune.
func interleavings(left map[rune]int) []string {
	var all []string
	for _, r := range []rune{'0', '1', 'w'} {
		if left[r] == 0 {
			continue
		}
		left[r]--
		for _, rest := range interleavings(left) {
			all = append(all, string(r)+rest)
		}
		left[r]++
	}
	if all == nil {
		return []string{""}
	}
	return all
}
