package keeper

import (
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// SetLeaving says whether the back end takes new work. When it leaves, what
// waits for it is refused as not run, so that it goes elsewhere at once; what
// runs there goes on to its end, unless it yields.
func (k *Keeper) SetLeaving(leaving bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = leaving
	if !leaving {
		return
	}
	for id, r := range k.runs {
		select {
		case <-r.started:
			continue
		default:
		}
		r.refusal = k.left()
		delete(k.runs, id)
		close(r.started)
		k.apply(k.policy.Withdraw(k.timer.Now(), id))
	}
}

func (k *Keeper) left() *result.Error {
	return result.New(result.Stopping, "back end %s is leaving", k.backend.Name)
}

// SetLeaving tells the keeper of a back end, if there is one here, whether the
// platform lists the back end as leaving.
func (s *Set) SetLeaving(backend string, leaving bool) {
	s.mu.Lock()
	k, ok := s.keepers[backend]
	s.mu.Unlock()
	if ok {
		k.SetLeaving(leaving)
	}
}
