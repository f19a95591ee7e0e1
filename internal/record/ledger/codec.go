package ledger

import (
	"fmt"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

// maxDecodedBytes bounds what a stored value may unpack to.
const maxDecodedBytes = 64 << 20

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderConcurrency(1))
)

// GroupKey returns the store key of a shard's group.
func GroupKey(shard int, sequence int64) string {
	return fmt.Sprintf("%s%016x", GroupPrefix(shard), sequence)
}

// GroupPrefix returns the store prefix of all groups of a shard.
func GroupPrefix(shard int) string { return fmt.Sprintf("ledger/%04d/", shard) }

// Encode returns the compressed stored form of a group.
func Encode(group *wire.Group) ([]byte, error) {
	raw, err := proto.Marshal(group)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return encoder.EncodeAll(raw, nil), nil
}

// Decode reads the stored form of a group; any bytes are safe to pass.
func Decode(value []byte) (*wire.Group, error) {
	raw, err := decoder.DecodeAll(value, nil)
	if err != nil {
		return nil, trace.Wrap(err, "unpack group")
	}
	group := new(wire.Group)
	if err := proto.Unmarshal(raw, group); err != nil {
		return nil, trace.Wrap(err, "decode group")
	}
	return group, nil
}

// Assemble returns the record of entry with its whole answer from the groups
// that hold it, nil if a part is missing.
func Assemble(groups []*wire.Group, entry Entry) *wire.Record {
	var whole *wire.Record
	for _, group := range groups {
		for _, record := range group.GetRecords() {
			if record.GetKey() != entry.Key || record.GetAttempt() != entry.Attempt || State(record.GetState()) != entry.State {
				continue
			}
			if record.GetPart() == 0 {
				whole = proto.CloneOf(record)
				whole.Part, whole.Parts = 1, max(1, record.GetParts())
				continue
			}
			if whole == nil || record.GetPart() != whole.GetPart() {
				return nil
			}
			whole.Answer = append(whole.Answer, record.GetAnswer()...)
			whole.Part++
		}
	}
	if whole == nil || whole.GetPart() != whole.GetParts() {
		return nil
	}
	whole.Part, whole.Parts = 0, 0
	return whole
}
