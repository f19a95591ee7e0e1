package ledger

import (
	"fmt"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

// maxDecodedBytes limits the decompressed size of a stored value.
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

// Encode returns group as it is stored: a compressed protocol buffer.
func Encode(group *wire.Group) ([]byte, error) {
	raw, err := proto.Marshal(group)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return encoder.EncodeAll(raw, nil), nil
}

// Decode returns the group that is stored as value. It accepts any bytes and
// returns an error if they are not a valid group.
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

// Assemble returns the record of entry with its whole answer, joined from its
// parts in groups. It returns nil if a part is missing.
func Assemble(groups []*wire.Group, entry Entry) *wire.Record {
	var assembled *wire.Record
	for _, group := range groups {
		for _, record := range group.GetRecords() {
			if record.GetKey() != entry.Key || record.GetAttempt() != entry.Attempt || State(record.GetState()) != entry.State {
				continue
			}
			if record.GetPart() == 0 {
				assembled = proto.CloneOf(record)
				assembled.Part, assembled.Parts = 1, max(1, record.GetParts())
				continue
			}
			if assembled == nil || record.GetPart() != assembled.GetPart() {
				return nil
			}
			assembled.Answer = append(assembled.Answer, record.GetAnswer()...)
			assembled.Part++
		}
	}
	if assembled == nil || assembled.GetPart() != assembled.GetParts() {
		return nil
	}
	assembled.Part, assembled.Parts = 0, 0
	return assembled
}
