package notice

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

// BenchmarkReport is what a relay does with one report, and a host with one
// summary of a relay of 50 hosts.
func BenchmarkReport(b *testing.B) {
	now := time.Unix(1000, 0)
	host := Member{Host: "front-addis-a-11", Zone: "a", Address: "10.1.0.11:8146", Start: now.UnixNano(), Weight: 192}
	load := scheduler.Load{Online: 1, Ends: []int{320}}
	n := Notice{Member: host, Loads: map[string]scheduler.Load{"i-7f3a91c2aa": load, "i-7f3a91c2ab": load, "i-7f3a91c2ac": {Batch: 2}}}
	s := Summary{Member: host, Loads: make(map[string]scheduler.Load)}
	for i := range 26 {
		s.Loads[fmt.Sprintf("i-7f3a91c%03d", i)] = scheduler.Load{Online: 4, Batch: 2}
	}
	withRoster := s
	for i := range 50 {
		m := host
		m.Host = fmt.Sprintf("front-addis-a-%d", i)
		withRoster.Roster = append(withRoster.Roster, m)
	}
	table := NewPeerTable(Member{Host: "self", Zone: "a", Address: "10.1.0.1:1"}, func(string, bool) {})
	sequence := int64(0)
	for name, run := range map[string]func() error{
		"notice": func() error {
			n.Sequence = sequence
			datagram, err := n.Encode()
			if err != nil {
				return err
			}
			m, err := Decode(datagram)
			table.Apply(now, *m.Notice)
			return err
		},
		"summary":             func() error { return applySummary(table, now, s, sequence) },
		"summary with roster": func() error { return applySummary(table, now, withRoster, sequence) },
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				sequence++
				if err := run(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func applySummary(table *PeerTable, now time.Time, s Summary, sequence int64) error {
	s.Sequence = sequence
	datagram, err := s.Encode()
	if err != nil {
		return err
	}
	m, err := Decode(datagram)
	table.ApplySummary(now, *m.Summary)
	return err
}
