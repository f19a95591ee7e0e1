package host

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/cause"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// noteHosts records an event for each host or zone that was lost or came back.
func (h *Host) noteHosts(now time.Time) {
	h.mu.Lock()
	var states []cause.HostState
	for _, other := range h.view.Hosts() {
		states = append(states, cause.HostState{
			Name: other.Name, Zone: other.Zone, Alive: h.view.Alive(now, other.Name), Leaving: other.Leaving, LastSeen: other.LastSeen,
		})
	}
	notes := h.hostTransitions.Update(now, states)
	h.mu.Unlock()
	h.noteAll(notes)
}

func (h *Host) noteAll(notes []cause.EventNote) {
	for _, n := range notes {
		h.note(n.Kind, n.Cause, n.Subjects...)
	}
}

// noteBackends records an event for each backend server that a new services text
// removes or marks as leaving.
func (h *Host) noteBackends(old, text *services.Text) {
	if old == nil {
		return
	}
	reason := "revision " + strconv.FormatInt(text.Revision(), 10) + " of the services text says so"
	for i := range old.Backends() {
		b := &old.Backends()[i]
		current, ok := text.Backend(b.Name)
		switch {
		case !ok:
			h.note("back end removed", reason, append([]string{b.Name}, b.Services...)...)
		case current.Leaving && !b.Leaving:
			h.note("back end leaving", reason, append([]string{b.Name}, b.Services...)...)
		}
	}
}

// observedStore wraps the platform's store and records events when it becomes
// unreachable or reachable again, when it is slow, and when a reply is lost.
type observedStore struct {
	store.Store
	timer timer.Service
	note  func([]cause.EventNote)

	mu          sync.Mutex
	transitions cause.StoreTransitions
}

var _ store.Store = (*observedStore)(nil)

// observe records the outcome of a call that started at began.
func (s *observedStore) observe(began time.Time, err error) {
	outcome, fault := cause.Answered, ""
	switch {
	case errors.Is(err, store.ErrOutcomeUnknown):
		outcome, fault = cause.ReplyLost, err.Error()
	case errors.Is(err, store.ErrUnavailable):
		outcome, fault = cause.Unreachable, err.Error()
	}
	now := s.timer.Now()
	s.mu.Lock()
	notes := s.transitions.RecordCall(now, outcome, now.Sub(began), fault)
	s.mu.Unlock()
	s.note(notes)
}

// observeRead is observe for a call without side effects, whose lost reply counts
// as an unreachable store.
func (s *observedStore) observeRead(began time.Time, err error) {
	if errors.Is(err, store.ErrOutcomeUnknown) {
		err = store.ErrUnavailable
	}
	s.observe(began, err)
}

// Get returns the entry with that key and whether it exists.
func (s *observedStore) Get(ctx context.Context, key string) (store.Entry, bool, error) {
	began := s.timer.Now()
	entry, ok, err := s.Store.Get(ctx, key)
	s.observeRead(began, err)
	return entry, ok, err
}

// Range returns entries in key order.
func (s *observedStore) Range(ctx context.Context, from, to string, limit int) ([]store.Entry, int64, error) {
	began := s.timer.Now()
	entries, revision, err := s.Store.Range(ctx, from, to, limit)
	s.observeRead(began, err)
	return entries, revision, err
}

// Commit runs a transaction.
func (s *observedStore) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	began := s.timer.Now()
	outcome, err := s.Store.Commit(ctx, txn)
	s.observe(began, err)
	return outcome, err
}
