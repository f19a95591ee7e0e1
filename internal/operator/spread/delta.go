package spread

import (
	"bytes"
	"crypto/sha256"
)

const (
	// maxDeltas and maxDeltaBytes bound what a host keeps for hosts that are
	// some revisions behind.
	maxDeltas     = 64
	maxDeltaBytes = 256 << 10
)

// Delta turns the text of one revision into that of a later one by replacing
// one part of it.
type Delta struct {
	From, To int64
	// Start and End are the part of the earlier text, in bytes, that Insert
	// replaces.
	Start, End int
	Insert     []byte
	// Digest is the SHA-256 sum of the later text.
	Digest [sha256.Size]byte
}

// Between returns the delta from one text to the next.
func Between(from, to int64, before, after []byte) Delta {
	start := 0
	for start < min(len(before), len(after)) && before[start] == after[start] {
		start++
	}
	tail := 0
	for tail < min(len(before), len(after))-start && before[len(before)-1-tail] == after[len(after)-1-tail] {
		tail++
	}
	return Delta{
		From: from, To: to, Start: start, End: len(before) - tail,
		Insert: bytes.Clone(after[start : len(after)-tail]), Digest: sha256.Sum256(after),
	}
}

// Apply returns the later text; ok is false if base is not the earlier one.
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

// History keeps the latest deltas of a host. The zero value is empty.
type History struct {
	// deltas follow each other: the To of one is the From of the next.
	deltas []Delta
	bytes  int
}

// Add appends the delta of a change that was put into force. One that does not
// follow the others, or is too long, empties the history.
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

// Since returns the deltas from a revision to the latest; ok is false if the
// history does not reach back to it.
func (h *History) Since(revision int64) (deltas []Delta, ok bool) {
	for i := range h.deltas {
		if h.deltas[i].From == revision {
			return h.deltas[i:], true
		}
	}
	return nil, false
}

// Latest returns the delta of the latest change.
func (h *History) Latest() (Delta, bool) {
	if len(h.deltas) == 0 {
		return Delta{}, false
	}
	return h.deltas[len(h.deltas)-1], true
}
