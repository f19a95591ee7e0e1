package buffer_test

import (
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/serving/buffer"
)

var _ = Describe("a budget", func() {
	type answer struct {
		*buffer.Answer
		broken bool
	}
	open := func(b *buffer.Budget, server string) *answer {
		a := new(answer)
		a.Answer = b.Open(server, func() { a.broken = true })
		return a
	}

	It("breaks off the largest answer of the server that holds most", func() {
		b := buffer.NewBudget(100)
		faulty, large, sound := open(b, "faulty"), open(b, "faulty"), open(b, "sound")
		Expect(faulty.Grow(20)).To(Succeed())
		Expect(large.Grow(40)).To(Succeed())
		Expect(sound.Grow(40)).To(Succeed())
		Expect(sound.Grow(15)).To(Succeed())
		Expect([]bool{faulty.broken, large.broken, sound.broken}).To(Equal([]bool{false, true, false}))
		Expect(large.Grow(1)).To(MatchError(buffer.ErrBrokenOff))
	})

	It("refuses an answer that would hold most by itself", func() {
		b := buffer.NewBudget(100)
		sound, faulty := open(b, "sound"), open(b, "faulty")
		Expect(sound.Grow(30)).To(Succeed())
		Expect(faulty.Grow(60)).To(Succeed())
		Expect(faulty.Grow(60)).To(MatchError(buffer.ErrBrokenOff))
		Expect(sound.broken).To(BeFalse())
		Expect(sound.Grow(70)).To(Succeed())
	})

	It("frees the memory of answers that are closed, also twice", func() {
		b := buffer.NewBudget(100)
		for range 50 {
			a := open(b, "s")
			Expect(a.Grow(90)).To(Succeed())
			a.Close()
			a.Close()
		}
	})

	It("never holds more than its limit", func() {
		r := rand.New(rand.NewPCG(1, 2))
		const limit = 1000
		b := buffer.NewBudget(limit)
		held := make(map[*answer]int)
		servers := []string{"a", "b", "c"}
		for range 20_000 {
			if len(held) < 12 {
				held[open(b, servers[r.IntN(len(servers))])] = 0
			}
			var chosen *answer
			for a := range held {
				chosen = a
				break
			}
			if r.IntN(8) == 0 {
				chosen.Close()
				delete(held, chosen)
				continue
			}
			n := r.IntN(300)
			if err := chosen.Grow(n); err == nil {
				held[chosen] += n
			}
			total := 0
			for a, size := range held {
				if a.broken {
					a.Close()
					delete(held, a)
					continue
				}
				total += size
			}
			Expect(total).To(BeNumerically("<=", limit))
		}
	})

	DescribeTable("reads an answer", func(reader io.Reader, maxBytes int, want string, failure string) {
		a := buffer.NewBudget(1<<20).Open("s", func() {})
		defer a.Close()
		body, err := a.ReadAll(reader, maxBytes)
		if failure != "" {
			Expect(err).To(MatchError(ContainSubstring(failure)))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal(want))
	},
		Entry("without bytes", strings.NewReader(""), 10, "", ""),
		Entry("of a few bytes, one at a time", iotest.OneByteReader(strings.NewReader("abc")), 10, "abc", ""),
		Entry("of many pieces", strings.NewReader(strings.Repeat("x", 700_000)), 700_000, strings.Repeat("x", 700_000), ""),
		Entry("that is too long", strings.NewReader(strings.Repeat("x", 11)), 10, "", "larger than 10 bytes"),
		Entry("that is cut off", io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), 10, "", "unexpected EOF"),
		Entry("that can't be read", iotest.ErrReader(errors.New("reset")), 10, "", "reset"),
		Entry("larger than the budget", strings.NewReader(strings.Repeat("x", 3<<20)), 4<<20, "", buffer.ErrBrokenOff.Error()),
	)
})
