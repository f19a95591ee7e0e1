package exchange

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarried is the most calls that one connection carries; it bounds its History to 4 KB.
const maxCarried = 512

// History holds which calls a connection has carried.
//
// A server may hand an answer out once more, late, where the next answer on the
// connection is due. Only the ID tells whose answer it is, which proves nothing if the
// next call has the same ID: an item that runs again, a stream that is resumed, or a caller
// that uses an ID twice. So a connection carries each ID at most once.
type History struct {
	// carried are the hashes of the IDs. Two IDs with the same hash cost a connection.
	carried []uint64
}

// Admit reports whether the connection may carry a call with the given ID, which is then
// in its history.
func (h *History) Admit(id string) bool {
	hash := xxhash.Sum64String(id)
	if len(h.carried) >= maxCarried || slices.Contains(h.carried, hash) {
		return false
	}
	h.carried = append(h.carried, hash)
	return true
}
