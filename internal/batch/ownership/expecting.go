package ownership

import (
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

// expectationOf returns what an item expects of its server, "" if nothing.
func (m *Manager) expectationOf(item jobstate.Item) string {
	if m.Expectation == nil {
		return ""
	}
	return m.Expectation(item.Fields)
}

// mayMeet reports whether a server may meet what an item expects.
func (m *Manager) mayMeet(now time.Time, w *queuedItem, s backend.Server) bool {
	return !m.unmet.Unmet(now, m.expectationOf(w.job.Item(w.index)), s.Start())
}

// meeting returns the servers of a service that may meet an expectation.
func (m *Manager) meeting(now time.Time, service, expected string) []backend.Server {
	return slices.DeleteFunc(slices.Clone(m.ServerDirectory.Usable(service)), func(s backend.Server) bool { return m.unmet.Unmet(now, expected, s.Start()) })
}

// noneMeets reports whether a service has servers and none may meet what an item expects.
func (m *Manager) noneMeets(now time.Time, service string, item jobstate.Item) bool {
	expected := m.expectationOf(item)
	return expected != "" && len(m.ServerDirectory.Usable(service)) > 0 && len(m.meeting(now, service, expected)) == 0
}

// placeElsewhere handles an item that got a slot at a server which does not meet what it
// expects: it moves to another server, or the slot goes to the first waiting item whose
// expectation the server may meet, or is given back. It returns the server, the item that
// runs there, nil if none does, and the items that wait.
func (m *Manager) placeElsewhere(now time.Time, service string, s backend.Server, w *queuedItem, waiting []*queuedItem) (backend.Server, *queuedItem, []*queuedItem) {
	if other, moved := m.Placer.MoveBatch(now, s, m.meeting(now, service, m.expectationOf(w.job.Item(w.index)))); moved {
		return other, w, waiting
	}
	next := slices.IndexFunc(waiting, func(o *queuedItem) bool { return m.mayMeet(now, o, s) })
	if next < 0 {
		m.Placer.EndBatch(now, s, scheduler.Unknown)
		return s, nil, append(waiting, w)
	}
	other := waiting[next]
	waiting[next] = w
	return s, other, waiting
}
