package distribution

import (
	"bytes"
	"crypto/sha256"
)

const (
	// maxDeltas and maxDeltaBytes bound the deltas that a host keeps for hosts
	// that are some revisions behind.
	maxDeltas     = 64
	maxDeltaBytes = 256 << 10
)

// Delta turns the text of revision From into that of revision To by replacing
// one range of bytes.
type Delta struct {
	From, To int64
	// Start and End are byte offsets in the earlier text. Insert replaces the
	// bytes from Start up to, but not including, End.
	Start, End int
	Insert     []byte
	// Digest is the SHA-256 hash of the later text.
	Digest [sha256.Size]byte
}

// NewDelta returns the delta from the text before, of revision from, to the text
// after, of revision to. It replaces all bytes between the common prefix and the
// common suffix.
func NewDelta(from, to int64, before, after []byte) Delta {
	start := 0
	for start < min(len(before), len(after)) && before[start] == after[start] {
		start++
	}
	suffix := 0
	for suffix < min(len(before), len(after))-start && before[len(before)-1-suffix] == after[len(after)-1-suffix] {
		suffix++
	}
	return Delta{
		From: from, To: to, Start: start, End: len(before) - suffix,
		Insert: bytes.Clone(after[start : len(after)-suffix]), Digest: sha256.Sum256(after),
	}
}

// Apply returns the later text. ok is false if the result does not match the
// digest, for example because base is not the earlier text.
func (d *Delta) Apply(base []byte) (text []byte, ok bool) {
	if d.Start < 0 || d.Start > d.End || d.End > len(base) {
		return nil, false
	}
	text = make([]byte, 0, len(base)-(d.End-d.Start)+len(d.Insert))
	text = append(text, base[:d.Start]...)
	text = append(text, d.Insert...)
	text = append(text, base[d.End:]...)
	return text, sha256.Sum256(text) == d.Digest
}

// History holds the deltas between the latest revisions of a host. The zero
// value is empty.
type History struct {
	// deltas is a chain: the To of each is the From of the next. bytes is the
	// total length of their Insert fields.
	deltas []Delta
	bytes  int
}

// Add appends the delta of a revision that was put into force. It empties the
// history first if the delta does not continue the chain, and leaves it empty if
// the delta exceeds maxDeltaBytes.
func (h *History) Add(d Delta) {
	if len(h.deltas) > 0 && h.deltas[len(h.deltas)-1].To != d.From || len(d.Insert) > maxDeltaBytes {
		h.deltas, h.bytes = nil, 0
	}
	if len(d.Insert) > maxDeltaBytes {
		return
	}
	h.deltas = append(h.deltas, d)
	h.bytes += len(d.Insert)
	for len(h.deltas) > maxDeltas || h.bytes > maxDeltaBytes {
		h.bytes -= len(h.deltas[0].Insert)
		h.deltas = h.deltas[1:]
	}
}

// Since returns the deltas from a revision to the latest. ok is false if the
// history does not contain that revision.
func (h *History) Since(revision int64) (deltas []Delta, ok bool) {
	for i := range h.deltas {
		if h.deltas[i].From == revision {
			return h.deltas[i:], true
		}
	}
	return nil, false
}

// Latest returns the delta to the latest revision, false if the history is
// empty.
func (h *History) Latest() (Delta, bool) {
	if len(h.deltas) == 0 {
		return Delta{}, false
	}
	return h.deltas[len(h.deltas)-1], true
}
