package job

import "sort"

// Running returns the jobs in progress in the shard, in the order of their IDs.
func (s *Shard) Running() []Record {
	var records []Record
	for _, id := range s.planIDs() {
		records = append(records, s.plans[id].snapshot())
	}
	return records
}

// Running returns the jobs in progress on this host, in the order of their IDs.
func (m *Manager) Running() []Record {
	var records []Record
	for _, w := range m.workers() {
		w.mu.Lock()
		records = append(records, w.shard.Running()...)
		w.mu.Unlock()
	}
	sort.Slice(records, func(i, j int) bool { return records[i].ID < records[j].ID })
	return records
}
