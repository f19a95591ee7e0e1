package chunk_test

import (
	"bytes"
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
)

// maxUnpacked bounds what a stored value may grow to.
const maxUnpacked = 4 << 20

// FuzzUnpack reads any bytes as a chunk, and packs and unpacks them.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte(nil))
	f.Add([]byte("not zstd"))
	f.Add(chunk.Pack([]byte("one line\n")))
	f.Add(chunk.Pack(make([]byte, 8<<20)))
	f.Fuzz(func(t *testing.T, value []byte) {
		if lines, err := chunk.Unpack(value); err == nil && len(lines) > maxUnpacked {
			t.Fatalf("%d bytes grew to %d", len(value), len(lines))
		}
		lines, err := chunk.Unpack(chunk.Pack(value))
		if len(value) <= maxUnpacked && (err != nil || !bytes.Equal(lines, value)) {
			t.Fatalf("%d bytes come back as %d: %v", len(value), len(lines), err)
		}
	})
}
