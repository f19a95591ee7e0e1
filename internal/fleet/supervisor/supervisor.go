// Package supervisor runs the long-running parts of a process. A part that
// returns early or panics is restarted with exponential backoff. Stop ends the
// parts in the reverse order of their start, so that a part never outlives what
// it uses.
package supervisor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = 5 * time.Second
)

// Component is a component that runs until its context ends.
type Component interface {
	// Name identifies the part in logs.
	Name() string
	// Run returns when ctx ends. An earlier return counts as a failure.
	Run(ctx context.Context) error
}

// Supervisor runs a list of parts. The zero value is not usable; call New.
type Supervisor struct {
	log logr.Logger

	mu       sync.Mutex
	children []*child
	stopped  bool
}

// New returns a supervisor without parts.
func New(log logr.Logger) *Supervisor { return &Supervisor{log: log} }

// child is one running part. done is closed when its last Run has returned.
type child struct {
	part   Component
	cancel context.CancelFunc
	done   chan struct{}
}

// Start runs part until Stop. The returned channel is closed when the part has
// ended, which is at once after Stop.
func (s *Supervisor) Start(part Component) <-chan struct{} {
	ctx, cancel := context.WithCancel(context.Background())
	c := &child{part: part, cancel: cancel, done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		cancel()
		close(c.done)
		return c.done
	}
	s.children = append(s.children, c)
	go s.run(ctx, c)
	return c.done
}

// Stop ends all parts, the last started first, and waits for each one unless ctx
// ends.
func (s *Supervisor) Stop(ctx context.Context) {
	s.mu.Lock()
	s.stopped = true
	children := s.children
	s.mu.Unlock()
	for i := len(children) - 1; i >= 0; i-- {
		children[i].cancel()
		select {
		case <-children[i].done:
		case <-ctx.Done():
		}
	}
}

func (s *Supervisor) run(ctx context.Context, c *child) {
	defer close(c.done)
	delay := minRestartDelay
	for {
		err := runOnce(ctx, c.part)
		if ctx.Err() != nil {
			return
		}
		s.log.Info("part restarts", "part", c.part.Name(), "cause", fmt.Sprint(err), "delay", delay.String())
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRestartDelay)
	}
}

func runOnce(ctx context.Context, part Component) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			err = fmt.Errorf("panic: %v", panicked)
		}
	}()
	return part.Run(ctx)
}
