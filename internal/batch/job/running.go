package job

import "sort"

// Running returns the jobs in progress in the shard.
func (s *Shard) Running() []Record {
	var list []Record
	for _, id := range s.ids() {
		list = append(list, s.plans[id].view())
	}
	return list
}

// Running returns the jobs in progress on this host, by id.
func (m *Manager) Running() []Record {
	var list []Record
	for _, w := range m.workers() {
		w.mu.Lock()
		list = append(list, w.shard.Running()...)
		w.mu.Unlock()
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
