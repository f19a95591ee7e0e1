package keeper

import (
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// SetLeaving sets whether the server is leaving. A leaving server gets no new
// requests. Waiting requests are refused as not run, so that they are sent to
// another server at once. Running requests continue unless they are preempted.
func (k *Keeper) SetLeaving(leaving bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = leaving
	if !leaving {
		return
	}
	for id, entry := range k.entries {
		select {
		case <-entry.started:
			continue
		default:
		}
		entry.refusal = k.leavingError()
		delete(k.entries, id)
		close(entry.started)
		k.apply(k.policy.Withdraw(k.timer.Now(), id))
	}
}

func (k *Keeper) leavingError() *result.Error {
	return result.New(result.Stopping, "back end %s is leaving", k.backend.Name)
}

// SetLeaving calls Keeper.SetLeaving for a backend server, if the set has a
// queue for it.
func (s *Set) SetLeaving(backend string, leaving bool) {
	s.mu.Lock()
	k, ok := s.queues[backend]
	s.mu.Unlock()
	if ok {
		k.SetLeaving(leaving)
	}
}
