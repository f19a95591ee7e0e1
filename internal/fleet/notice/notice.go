// Package notice implements the status protocol between entry hosts on the
// platform: that a host is alive, which configuration it has, how many requests
// it has in flight at each server, and which jobs it has come to own.
//
// In a fleet of up to maxDirect hosts each host sends its status to all others.
// In a larger one a host reports only to the relays of its zone, which are the
// first two hosts in an order that all hosts compute alike. A relay sends
// summaries, with the list of the hosts that report to it, to these hosts and to
// the relays of the other zones. What a host sends and receives therefore does
// not grow with the fleet. The first relay of a zone is also the coordinator of
// the slots of the zone's servers; see package slots.
//
// No host is elected: one that gets reports is a relay for those who report to
// it. Hosts with different views use different relays for a while, and two relays
// at once do no harm. A relay that falls silent is passed over by its hosts.
//
// All messages are datagrams and may be lost, late or out of order. Each carries
// a complete state, so the newest one replaces all earlier ones; a sequence
// number shows which is the newest. Hosts learn each other's addresses from their
// settings, from the store and from the messages.
package notice

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/serving/capacity"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
	"github.com/kingcupquay/kingcupquay/internal/serving/serverlimit"
	"github.com/kingcupquay/kingcupquay/internal/serving/suspect"
)

// Member describes a host.
type Member struct {
	Host string `json:"h"`
	Zone string `json:"z"`
	// Address is the IP:PORT at which the host receives datagrams (UDP) and calls
	// (TCP) of other hosts.
	Address string `json:"a"`
	// Start identifies a start of the host and grows with each one, unless the
	// time of day is set back.
	Start int64 `json:"s"`
	// Stopping is set once the host is stopping and takes no new jobs.
	Stopping bool `json:"x,omitempty"`
	// CutOff is set while the host can open no connection to any backend server.
	CutOff bool `json:"-"`
	// Weight is the host's share of a processor core in thousandths, 0 if
	// unknown. Hosts with a higher weight become relays first.
	Weight int `json:"-"`
	// Legacy is set if the host speaks only the JSON form of a notice.
	Legacy bool `json:"-"`
}

// Notice is the status of one host. The tags are those of the JSON form, which
// hosts of earlier releases send and understand; see EncodeLegacy.
type Notice struct {
	Member
	// Sequence grows with each notice of the same start.
	Sequence int64 `json:"n"`
	// ConfigVersion is the version of the configuration in force at the host.
	ConfigVersion int64 `json:"c,omitempty"`
	// ServersRevision is the store revision of the newest change of the list of
	// servers that the host has read.
	ServersRevision int64 `json:"r,omitempty"`
	// EndedJobs are jobs that were recently ended through the host.
	EndedJobs []string                     `json:"e,omitempty"`
	Loads     map[string]scheduler.Load    `json:"l,omitempty"`
	Backlogs  map[string]scheduler.Backlog `json:"-"`
	// AcquiredJobs are some of the jobs that the host has recently come to own.
	AcquiredJobs []string `json:"j,omitempty"`
	// KnownAddresses are addresses of other hosts.
	KnownAddresses []string `json:"k,omitempty"`
	// Asks are the requests that wait for a slot of the coordinator.
	Asks []scheduler.Ask `json:"-"`
	// BatchSeen is the number of the last batch grant received from the
	// coordinator whose Start is BatchSeenStart.
	BatchSeen      uint64 `json:"-"`
	BatchSeenStart int64  `json:"-"`
	// FailureRates are those of servers that have failed lately.
	FailureRates map[string]float64 `json:"-"`
	// Coordinator is the host whose grants of batch slots the host waits for.
	Coordinator string `json:"-"`
	// SlotTimes are the mean times of online requests in a slot, by service.
	SlotTimes map[string]time.Duration `json:"-"`
	// Limits are those that servers named in answers to the host, by server.
	Limits map[string]serverlimit.Limit `json:"-"`
	// Suspects are the parts of prompts under which servers ended.
	Suspects []suspect.Report `json:"-"`
	// Home is the host that the host takes for the home of the limits of organisations.
	Home string `json:"-"`
	// Capacity are times that the host measured at servers since its last regular
	// notice.
	Capacity []capacity.Report `json:"-"`
}

// legacyNotice is the JSON form of a notice, which has one backlog.
type legacyNotice struct {
	Notice
	Backlog scheduler.Backlog `json:"b,omitzero"`
}

// EncodeLegacy returns the notice in its JSON form.
func (n Notice) EncodeLegacy() ([]byte, error) {
	legacy := legacyNotice{Notice: n}
	for _, b := range n.Backlogs {
		if legacy.Backlog.Items == 0 || b.Slack < legacy.Backlog.Slack {
			legacy.Backlog.Slack = b.Slack
		}
		legacy.Backlog.Items += b.Items
	}
	text, err := json.Marshal(legacy)
	return text, trace.Wrap(err)
}

// anyService is the service of a backlog whose host does not name it.
const anyService = ""

func decodeLegacy(datagram []byte) (*Notice, error) {
	var legacy legacyNotice
	if err := json.Unmarshal(datagram, &legacy); err != nil {
		return nil, trace.BadParameter("notice: %v", err)
	}
	n := legacy.Notice
	n.Legacy = true
	for server, l := range n.Loads {
		n.Loads[server] = boundLoad(l)
	}
	if legacy.Backlog.Items > 0 {
		n.Backlogs = map[string]scheduler.Backlog{anyService: boundBacklog(legacy.Backlog)}
	}
	return &n, nil
}

// Summary is what a relay tells of its zone.
type Summary struct {
	Member
	// Sequence grows with each summary of the same start.
	Sequence      int64
	ConfigVersion int64
	// Servers are the latest changes of the list of servers.
	Servers Changes
	// RosterVersion changes with the list of the hosts that report to the relay.
	// Roster is that list, or nil if it is left out.
	RosterVersion int64
	Roster        []Member
	// Services is the load of the zone's servers by service, Loads by server.
	Services map[string]scheduler.ZoneLoad
	Loads    map[string]scheduler.Load
	// AcquiredJobs are the jobs that hosts have recently come to own, by host.
	AcquiredJobs map[string][]string
	EndedJobs    []string
	Limits       map[string]serverlimit.Limit
	Suspects     []suspect.Report
	// Forwarded is set if the summary did not come from its relay directly.
	Forwarded bool
}

// Answers is what a coordinator sends to a host.
type Answers struct {
	Member
	Answers []Answer
	Batch   []scheduler.BatchGrant
	Keep    []scheduler.Keep
}

// Answer answers the ask with the same ID.
type Answer struct {
	ID     uint64
	Choice scheduler.Choice
}
