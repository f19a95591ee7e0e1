// Package weights is a small stand-in for a rate-limited store of model
// weights: all loads under way share its rate in equal parts.
package weights

import (
	"context"
	"sync"
	"time"
)

// parts is how many pieces a load is read in.
const parts = 32

// Store is a running stand-in.
type Store struct {
	// piece is the time that one piece takes alone.
	piece time.Duration

	mu sync.Mutex
	// next is when the store is free for another piece.
	next    time.Time
	running map[string]int
	most    map[string]int
	loads   int
}

// New returns a store from which one load alone takes that time.
func New(alone time.Duration) *Store {
	return &Store{piece: alone / parts, running: make(map[string]int), most: make(map[string]int)}
}

// Load reads an artifact to its end or until ctx ends.
func (s *Store) Load(ctx context.Context, artifact string) error {
	s.begin(artifact)
	defer s.end(artifact)
	for range parts {
		select {
		case <-time.After(s.reserve()):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// reserve takes the next free piece and returns how long it is until its end.
func (s *Store) reserve() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.next.Before(now) {
		s.next = now
	}
	s.next = s.next.Add(s.piece)
	return s.next.Sub(now)
}

func (s *Store) begin(artifact string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	s.running[artifact]++
	s.most[artifact] = max(s.most[artifact], s.running[artifact])
}

func (s *Store) end(artifact string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[artifact]--
}

// MaxConcurrentLoads returns the most loads of an artifact that were under way at a time.
func (s *Store) MaxConcurrentLoads(artifact string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most[artifact]
}

// LoadCount returns how many loads were begun.
func (s *Store) LoadCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}
