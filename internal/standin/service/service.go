// Package service is a small stand-in for a plain service whose calls may not
// be repeated: it counts every body it is given, so that a test can prove that
// none came twice.
package service

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Service is a running stand-in.
type Service struct {
	http     *http.Server
	listener net.Listener

	mu    sync.Mutex
	delay time.Duration
	// cutAfter makes the service do its work and then lose the answer.
	cutAfter bool
	counts   map[string]int
	total    int
}

// Start listens on address and serves until Close.
func Start(address string, delay time.Duration) (*Service, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Service{listener: listener, delay: delay, counts: make(map[string]int)}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Address returns IP:PORT.
func (s *Service) Address() string { return s.listener.Addr().String() }

// Close ends the service and cuts its connections.
func (s *Service) Close() { _ = s.http.Close() }

// SetDelay changes the time of each call.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetDropReplies makes each call take effect and its answer get lost.
func (s *Service) SetDropReplies(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutAfter = cut
}

// Count returns how often a body came in.
func (s *Service) Count(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[body]
}

// Counts returns all bodies with how often each came in.
func (s *Service) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.counts))
	for body, n := range s.counts {
		counts[body] = n
	}
	return counts
}

// answer is what a call gets back.
type answer struct {
	Path   string `json:"path"`
	Echo   string `json:"echo"`
	Serial int    `json:"serial"`
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.counts[string(body)]++
	s.total++
	out := answer{Path: r.URL.RequestURI(), Echo: string(body), Serial: s.total}
	delay, cut := s.delay, s.cutAfter
	s.mu.Unlock()
	time.Sleep(delay)
	if cut {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}
