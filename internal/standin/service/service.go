// Package service is a small stand-in for a plain service whose calls are not
// idempotent. It counts the requests per body, so that a test can check that none
// was delivered twice.
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
	// dropReplies makes the service handle each call and then abort the
	// connection instead of replying.
	dropReplies bool
	counts      map[string]int
	total       int
}

// Start listens on address and serves until Close.
func Start(address string, delay time.Duration) (*Service, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Service{listener: listener, delay: delay, counts: make(map[string]int)}
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Address returns IP:PORT.
func (s *Service) Address() string { return s.listener.Addr().String() }

// Close stops the service and closes its connections.
func (s *Service) Close() { _ = s.http.Close() }

// SetDelay changes the duration of each call.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetDropReplies sets whether the reply of each call is lost. The call takes
// effect in either case.
func (s *Service) SetDropReplies(drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropReplies = drop
}

// Count returns the number of requests with that body.
func (s *Service) Count(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[body]
}

// Counts returns the number of requests of each body.
func (s *Service) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.counts))
	for body, n := range s.counts {
		counts[body] = n
	}
	return counts
}

// response is the JSON body of a reply.
type response struct {
	Path   string `json:"path"`
	Echo   string `json:"echo"`
	Serial int    `json:"serial"`
}

func (s *Service) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.counts[string(body)]++
	s.total++
	reply := response{Path: r.URL.RequestURI(), Echo: string(body), Serial: s.total}
	delay, drop := s.delay, s.dropReplies
	s.mu.Unlock()
	time.Sleep(delay)
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
