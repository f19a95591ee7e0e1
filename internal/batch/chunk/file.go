// Package chunk stores large files, such as uploads of callers and results of
// jobs, as write-once chunks. A chunk holds whole lines, is compressed and fits
// into one value of the platform's store. A file exists once its manifest is
// written, which happens last; chunks without a manifest are left over from an
// interrupted upload.
//
// The package accesses the store through the small Store interface, so that
// chunks can be moved to disk hosts when they outgrow the platform's store.
package chunk

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"time"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// MaxFileBytes bounds the total size of the lines of one file.
	MaxFileBytes = 100 << 20
	// MaxLines bounds the number of lines of one file.
	MaxLines = 150_000
	// MaxLineBytes bounds the size of one line, which must fit into a chunk.
	MaxLineBytes = 512 << 10
	// chunkBytes bounds the uncompressed size of a chunk, so that a chunk that
	// does not compress still fits into one value of the store.
	chunkBytes = 900 << 10
	// maxDecodedBytes bounds the decompressed size of a stored chunk.
	maxDecodedBytes = 4 << 20
)

// Store is the subset of the platform's store that this package uses.
type Store interface {
	Get(ctx context.Context, key string) (store.Entry, bool, error)
	Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error)
}

var _ Store = (store.Store)(nil)

// Manifest describes a complete file.
type Manifest struct {
	ID           string    `json:"id"`
	Organisation string    `json:"organisation"`
	Name         string    `json:"name"`
	Purpose      string    `json:"purpose"`
	Created      time.Time `json:"created"`
	Bytes        int64     `json:"bytes"`
	Lines        int       `json:"lines"`
	Chunks       int       `json:"chunks"`
	// FirstLines holds the index of the first line of each chunk, counted from 0.
	FirstLines []int `json:"starts,omitempty"`
	// Digest is the SHA-256 sum of the uncompressed chunks in hexadecimal.
	Digest string `json:"digest"`
}

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderConcurrency(1))
)

// Pack compresses the lines of a chunk for the store.
func Pack(lines []byte) []byte { return encoder.EncodeAll(lines, nil) }

// Unpack decompresses a stored chunk. It returns an error for invalid or too
// large data, so value need not be trusted.
func Unpack(value []byte) ([]byte, error) {
	lines, err := decoder.DecodeAll(value, nil)
	return lines, trace.Wrap(err)
}

// Writer writes one file line by line. It buffers at most one chunk.
type Writer struct {
	store    Store
	manifest Manifest
	buffer   bytes.Buffer
	digest   hash.Hash
}

// NewWriter returns a writer for the file with the ID in manifest. The writer
// fills in the sizes, Starts and Digest of the manifest.
func NewWriter(s Store, manifest Manifest) *Writer {
	return &Writer{store: s, manifest: manifest, digest: sha256.New()}
}

// Add appends one line, which is passed without its line break.
func (w *Writer) Add(ctx context.Context, line []byte) *result.Error {
	if len(line) > MaxLineBytes {
		return result.New(result.InvalidItem, "line %d is longer than %d bytes", w.manifest.Lines+1, MaxLineBytes)
	}
	if w.manifest.Lines >= MaxLines {
		return result.New(result.TooManyItems, "more than %d lines", MaxLines)
	}
	if w.manifest.Bytes+int64(len(line)) > MaxFileBytes {
		return result.New(result.BodyTooLarge, "more than %d bytes", MaxFileBytes)
	}
	if w.buffer.Len()+len(line) >= chunkBytes {
		if err := w.flush(ctx); err != nil {
			return err
		}
	}
	if w.buffer.Len() == 0 {
		w.manifest.FirstLines = append(w.manifest.FirstLines, w.manifest.Lines)
	}
	w.buffer.Write(line)
	w.buffer.WriteByte('\n')
	w.manifest.Lines++
	w.manifest.Bytes += int64(len(line)) + 1
	return nil
}

func (w *Writer) flush(ctx context.Context) *result.Error {
	if w.buffer.Len() == 0 {
		return nil
	}
	w.digest.Write(w.buffer.Bytes())
	key := Key(w.manifest.ID, w.manifest.Chunks)
	if err := PutOnce(ctx, w.store, key, Pack(w.buffer.Bytes())); err != nil {
		return result.New(result.StoreUnavailable, "%v", err).WithRetry(time.Second)
	}
	w.buffer.Reset()
	w.manifest.Chunks++
	return nil
}

// Close writes the last chunk and then the manifest, which makes the file exist.
func (w *Writer) Close(ctx context.Context) (Manifest, *result.Error) {
	if err := w.flush(ctx); err != nil {
		return Manifest{}, err
	}
	w.manifest.Digest = hex.EncodeToString(w.digest.Sum(nil))
	value, err := json.Marshal(w.manifest)
	if err != nil {
		return Manifest{}, result.From(err)
	}
	if err := PutOnce(ctx, w.store, manifestKey(w.manifest.ID), value); err != nil {
		return Manifest{}, result.New(result.StoreUnavailable, "%v", err).WithRetry(time.Second)
	}
	return w.manifest, nil
}

// Key returns the store key of a chunk of a file, counted from 0.
func Key(id string, number int) string { return fmt.Sprintf("chunk/%s/%06d", id, number) }

func manifestKey(id string) string { return "file/" + id }

const maxPutAttempts = 4

// PutOnce writes a key that has no other writer. The write requires that the key
// does not exist, so it can be repeated after a lost reply: if the store refuses
// the repetition, the earlier write took effect.
func PutOnce(ctx context.Context, s Store, key string, value []byte) error {
	txn := store.Txn{
		Compares: []store.Compare{{Key: key, Target: store.CreateRevision}},
		Puts:     []store.Put{{Key: key, Value: value}},
	}
	var err error
	for range maxPutAttempts {
		if _, err = s.Commit(ctx, txn); err == nil {
			return nil
		}
	}
	return trace.Wrap(err)
}

// Open returns the manifest of a file.
func Open(ctx context.Context, s Store, id string) (Manifest, *result.Error) {
	entry, ok, err := s.Get(ctx, manifestKey(id))
	if err != nil {
		return Manifest{}, result.New(result.StoreUnavailable, "%v", err).WithRetry(time.Second)
	}
	if !ok {
		return Manifest{}, result.New(result.NotFound, "no file %s", id)
	}
	var m Manifest
	if err := json.Unmarshal(entry.Value, &m); err != nil {
		return Manifest{}, result.New(result.Internal, "manifest of %s: %v", id, err)
	}
	return m, nil
}

// Read returns the lines of the chunk stored under key.
func Read(ctx context.Context, s Store, key string) ([]byte, *result.Error) {
	entry, ok, err := s.Get(ctx, key)
	if err != nil {
		return nil, result.New(result.StoreUnavailable, "%v", err).WithRetry(time.Second)
	}
	if !ok {
		return nil, result.New(result.NotFound, "no chunk %s", key)
	}
	lines, err := Unpack(entry.Value)
	if err != nil {
		return nil, result.New(result.Internal, "chunk %s: %v", key, err)
	}
	return lines, nil
}
