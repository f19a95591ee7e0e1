// Package weights is a small stand-in for a rate-limited store of model weights.
// Concurrent loads share its bandwidth equally.
package weights

import (
	"context"
	"sync"
	"time"
)

// chunksPerLoad is the number of chunks that a load is read in; concurrent loads
// take turns by chunk.
const chunksPerLoad = 32

// Store simulates the bandwidth of a store of model weights.
type Store struct {
	// chunkTime is the time to read one chunk.
	chunkTime time.Duration

	mu sync.Mutex
	// freeAt is when the reads reserved so far are finished.
	freeAt     time.Time
	running    map[string]int
	maxRunning map[string]int
	loads      int
}

// New returns a store from which a single load takes loadTime if no other load
// is in progress.
func New(loadTime time.Duration) *Store {
	return &Store{chunkTime: loadTime / chunksPerLoad, running: make(map[string]int), maxRunning: make(map[string]int)}
}

// Load reads an artifact; it returns early if ctx ends.
func (s *Store) Load(ctx context.Context, artifact string) error {
	s.begin(artifact)
	defer s.end(artifact)
	for range chunksPerLoad {
		select {
		case <-time.After(s.reserve()):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// reserve reserves the reading of one chunk and returns the time until it is
// finished.
func (s *Store) reserve() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(s.chunkTime)
	return s.freeAt.Sub(now)
}

func (s *Store) begin(artifact string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	s.running[artifact]++
	s.maxRunning[artifact] = max(s.maxRunning[artifact], s.running[artifact])
}

func (s *Store) end(artifact string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[artifact]--
}

// MaxConcurrentLoads returns the maximum number of concurrent loads of an
// artifact so far.
func (s *Store) MaxConcurrentLoads(artifact string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxRunning[artifact]
}

// LoadCount returns the number of loads started so far.
func (s *Store) LoadCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}
