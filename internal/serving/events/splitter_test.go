package events_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/serving/events"
)

const stream = "id: 1\ndata: one\n\nid: 2\nevent: token\ndata: two\ndata: lines\n\n: note\nid: 3\r\ndata:three\r\n\r\n"

func splitPieces(s *events.Splitter, pieces ...string) []events.Event {
	var all []events.Event
	for _, p := range pieces {
		found, err := s.Add([]byte(p))
		Expect(err).NotTo(HaveOccurred())
		for _, e := range found {
			e.Raw, e.Data = bytes.Clone(e.Raw), bytes.Clone(e.Data)
			all = append(all, e)
		}
	}
	return all
}

var _ = Describe("a splitter", func() {
	It("finds the same events wherever the bytes are cut", func() {
		whole := splitPieces(new(events.Splitter), stream)
		Expect(whole).To(HaveLen(3))
		Expect(whole[1].ID).To(Equal(int64(2)))
		Expect(string(whole[1].Data)).To(Equal("two\nlines"))
		Expect(string(whole[2].Data)).To(Equal("three"))
		for cut := range len(stream) {
			Expect(splitPieces(new(events.Splitter), stream[:cut], stream[cut:])).To(Equal(whole), "cut at %d", cut)
		}
	})

	It("keeps every byte in order and an incomplete event apart", func() {
		s := new(events.Splitter)
		var raw []byte
		for _, e := range splitPieces(s, stream+"id: 4\ndata: ha") {
			raw = append(raw, e.Raw...)
		}
		Expect(string(raw)).To(Equal(stream))
		Expect(string(s.Remainder())).To(Equal("id: 4\ndata: ha"))
	})

	It("refuses an event that exceeds the size limit", func() {
		s := new(events.Splitter)
		var err error
		for range 5 << 10 {
			if _, err = s.Add(bytes.Repeat([]byte("x"), 1<<10)); err != nil {
				break
			}
		}
		Expect(err).To(HaveOccurred())
	})
})

var _ = DescribeTable("a sequence", func(sequence events.Sequence, ids []int64, accepted int) {
	n := 0
	for _, id := range ids {
		if !sequence.Advance(events.Event{ID: id, HasID: id != 0}) {
			break
		}
		n++
	}
	Expect(n).To(Equal(accepted))
},
	Entry("starts at any number and continues by one", events.Sequence{}, []int64{7, 8, 9}, 3),
	Entry("rejects a gap", events.Sequence{}, []int64{1, 3}, 1),
	Entry("rejects a repeated event", events.Sequence{}, []int64{1, 2, 2}, 2),
	Entry("continues after the last event the caller received", events.StartAfter(12), []int64{13, 14}, 2),
	Entry("rejects a restarted numbering", events.StartAfter(12), []int64{1, 2}, 0),
	Entry("rejects an event without a number", events.Sequence{}, []int64{0}, 0),
)

func FuzzSplitter(f *testing.F) {
	f.Add([]byte(stream), 5)
	f.Add([]byte("\n\n\n\r\n\r\n\n"), 2)
	f.Add([]byte("id: 99999999999999999999\ndata\n\n"), 1)
	f.Fuzz(func(t *testing.T, input []byte, cut int) {
		cut = max(0, min(cut, len(input)))
		var whole, parts events.Splitter
		a, errA := whole.Add(input)
		var raw []byte
		for _, e := range a {
			raw = append(raw, e.Raw...)
		}
		raw = append(raw, whole.Remainder()...)
		if !bytes.Equal(raw, input) {
			t.Fatalf("the events and the remainder are not the input: %q", input)
		}
		b, errB := parts.Add(input[:cut])
		n := len(b)
		c, errC := parts.Add(input[cut:])
		if errA == nil && errB == nil && errC == nil && n+len(c) != len(a) {
			t.Fatalf("%d events from the whole input, %d from two parts", len(a), n+len(c))
		}
	})
}
