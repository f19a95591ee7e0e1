package chunk_test

import (
	"bytes"
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
)

// maxDecodedBytes is the largest size to which a stored chunk may decompress.
const maxDecodedBytes = 4 << 20

// FuzzUnpack checks that Unpack bounds the size of its result for any input, and
// that Unpack reverses Pack.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte(nil))
	f.Add([]byte("not zstd"))
	f.Add(chunk.Pack([]byte("one line\n")))
	f.Add(chunk.Pack(make([]byte, 8<<20)))
	f.Fuzz(func(t *testing.T, value []byte) {
		if lines, err := chunk.Unpack(value); err == nil && len(lines) > maxDecodedBytes {
			t.Fatalf("%d bytes decompressed to %d", len(value), len(lines))
		}
		lines, err := chunk.Unpack(chunk.Pack(value))
		if len(value) <= maxDecodedBytes && (err != nil || !bytes.Equal(lines, value)) {
			t.Fatalf("%d bytes were unpacked as %d: %v", len(value), len(lines), err)
		}
	})
}
