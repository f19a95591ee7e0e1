package ownership

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/serving/suspect"
)

// rests says which items wait in one pass of the scheduler since servers crashed.
type rests struct {
	// items holds until when items rest, by suspect.ItemName.
	items map[string]time.Time
	// parts holds until when items with a condemned part rest, by part. Those that have
	// rested run one at a time: taken are the parts with which one runs or is queued.
	parts map[string]time.Time
	taken map[string]bool
}

// restsOf returns what waits. The caller holds Manager.mu.
func (m *Manager) restsOf() rests {
	r := rests{items: m.Crashes.RestingItems(), parts: m.Crashes.CondemnedParts(), taken: make(map[string]bool)}
	if len(r.parts) == 0 {
		return r
	}
	for _, j := range m.jobs {
		for i := range j.runs {
			for _, part := range r.condemned(m.allParts(j.job.Item(i))) {
				r.taken[part] = true
			}
		}
	}
	return r
}

// condemned returns which parts are condemned.
func (r rests) condemned(parts []string) []string {
	var list []string
	for _, part := range parts {
		if _, condemned := r.parts[part]; condemned {
			list = append(list, part)
		}
	}
	return list
}

// rests reports whether an item waits. If it does not, it takes its condemned parts.
func (m *Manager) rests(now time.Time, r rests, job string, item jobstate.Item) bool {
	if len(r.items) > 0 && now.Before(r.items[suspect.ItemName(job, item.ID)]) {
		return true
	}
	if len(r.parts) == 0 {
		return false
	}
	condemned := r.condemned(m.allParts(item))
	for _, part := range condemned {
		if r.taken[part] || now.Before(r.parts[part]) {
			return true
		}
	}
	for _, part := range condemned {
		r.taken[part] = true
	}
	return false
}

// partsOf returns the parts of the prompt of an item.
func (m *Manager) partsOf(item jobstate.Item) (shared []string, last string) {
	if m.PromptParts == nil {
		return nil, ""
	}
	return m.PromptParts(item.Fields)
}

// allParts returns the parts of the prompt of an item, the last one included.
func (m *Manager) allParts(item jobstate.Item) []string {
	shared, last := m.partsOf(item)
	return append(shared, last)
}
