package notice

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/serving/capacity"
)

const (
	// minSpacing is the least time between two notices of a host; for each
	// addressee beyond hostsAtMinSpacing, spacingPerHost is added.
	minSpacing        = 8 * time.Millisecond
	hostsAtMinSpacing = 8
	spacingPerHost    = 3 * time.Millisecond
	// regularInterval is the longest time between two messages without a change.
	regularInterval = 250 * time.Millisecond
	// summarySpacing is the least time between two summaries to the hosts of the
	// own zone, farInterval between two to the relays of other zones.
	summarySpacing = 100 * time.Millisecond
	farInterval    = 240 * time.Millisecond
	// A summary carries the roster if it changed since the last but one, and in
	// every rosterInterval-th summary.
	rosterInterval = 8
	// forwardInterval is the longest time between two times that a summary of a
	// relay of another zone is passed on. One with a new roster is passed on at
	// once.
	forwardInterval = 2 * time.Second
	// askedPeriod is how long a host that was asked gets this host's notices. It is
	// longer than a report is used.
	askedPeriod = 2 * time.Second
	// The first initialAddressNotices notices and every addressNoticeInterval-th
	// later one carry all known addresses.
	initialAddressNotices = 8
	addressNoticeInterval = 16
	// maxDatagram is the largest size of a datagram in bytes.
	maxDatagram = 60 << 10
)

// Source returns the state that an Exchange sends and handles what it receives.
type Source interface {
	// Notice returns the status of this host, without Member, Sequence and
	// KnownAddresses.
	Notice() Notice
	// Capacity returns the times that this host measured at servers since the last
	// call. They go with the regular notices only, which all addressees get.
	Capacity() []capacity.Report
	// Summary returns the summary of this host, without Member, Sequence and the
	// roster, for the hosts that report to it or for relays of other zones.
	Summary(far bool) Summary
	// HandleNotice, HandleSummary and HandleAnswers are called for each message
	// that is newer than all earlier ones of its host.
	HandleNotice(n Notice)
	HandleSummary(s Summary)
	HandleAnswers(a Answers)
	// HandleFreshnessQuery and HandleFreshnessAnswer are called for each such message,
	// also for repeated and late ones.
	HandleFreshnessQuery(q FreshnessQuery)
	HandleFreshnessAnswer(a FreshnessAnswer)
	// HandleTokens is called for each message about tokens of limits.
	HandleTokens(t Tokens)
}

// Exchange sends this host's messages and receives those of others.
type Exchange struct {
	timer  timer.Service
	log    logr.Logger
	table  *PeerTable
	self   Member
	conn   *net.UDPConn
	source Source

	// write sends a datagram to an address.
	write func(address string, datagram []byte)
	// notices counts the notices sent, lastRegular is when those with a regular
	// interval last got one. Both are only used by sendStatus.
	notices     int
	lastRegular time.Time
	// near and far are the rosters as last sent, lastFar is when relays of other
	// zones last got a summary. They are only used by sendSummary.
	near, far sentRoster
	lastFar   time.Time

	trigger        chan struct{}
	summaryTrigger chan struct{}
	done           chan struct{}
	wg             sync.WaitGroup

	// noticeMu is held from the composition of a notice until it is numbered, so
	// that a later number means a later state.
	noticeMu sync.Mutex

	mu sync.Mutex
	// sequence is that of the last message. All kinds share it.
	sequence int64
	// asked holds the addresses that got a notice from SendNotice, with the time
	// of the last. They get the further notices for askedPeriod, so that they
	// learn what became of this host's requests.
	asked    map[string]time.Time
	stopping bool
	cutOff   bool
	// forwarded holds the summaries that were last passed on, by relay.
	forwarded map[string]forwardedRoster
}

// sentRoster is a roster with the summaries that were sent since it changed.
type sentRoster struct {
	members []Member
	version int64
	sent    int
}

// forwardedRoster is the version of a roster that was passed on at a time.
type forwardedRoster struct {
	version int64
	at      time.Time
}

// Listen opens the UDP address at which messages arrive.
func Listen(address string) (*net.UDPConn, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", local)
	return conn, trace.ConvertSystemError(err)
}

// NewExchange returns an exchange of the host self on an open connection; Close
// closes the connection.
func NewExchange(t timer.Service, log logr.Logger, table *PeerTable, self Member, conn *net.UDPConn, source Source) *Exchange {
	e := &Exchange{
		timer: t, log: log, table: table, self: self, conn: conn, source: source, forwarded: make(map[string]forwardedRoster), asked: make(map[string]time.Time),
		trigger: make(chan struct{}, 1), summaryTrigger: make(chan struct{}, 1), done: make(chan struct{}),
	}
	e.write = e.writeUDP
	return e
}

// Start begins to send and receive messages.
func (e *Exchange) Start() {
	e.wg.Add(3)
	go e.receive()
	go e.sendNotices()
	go e.sendSummaries()
}

// TriggerSend requests that a notice be sent soon.
func (e *Exchange) TriggerSend() { signal(e.trigger) }

// TriggerSummary requests that a summary be sent soon, if this host is a relay.
func (e *Exchange) TriggerSummary() { signal(e.summaryTrigger) }

// signal sends on c unless a signal is already pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetStopping marks this host as stopping in all further messages.
func (e *Exchange) SetStopping() {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	e.table.SetStopping()
	e.TriggerSend()
	e.TriggerSummary()
}

// SetCutOff tells other hosts whether this one can open no connection to any
// backend server.
func (e *Exchange) SetCutOff(cutOff bool) {
	e.mu.Lock()
	e.cutOff = cutOff
	e.mu.Unlock()
	e.table.SetCutOff(cutOff)
	e.TriggerSend()
	e.TriggerSummary()
}

// Close stops sending and receiving.
func (e *Exchange) Close() {
	close(e.done)
	_ = e.conn.Close()
	e.wg.Wait()
}

// header returns the sender and the sequence number of the next message.
func (e *Exchange) header() (Member, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	m := e.self
	m.Stopping, m.CutOff = e.stopping, e.cutOff
	return m, e.sequence
}

func (e *Exchange) notice() Notice {
	e.noticeMu.Lock()
	defer e.noticeMu.Unlock()
	n := e.source.Notice()
	n.Member, n.Sequence = e.header()
	return n
}

// SendNotice sends the current status to one host at once, and each change of it
// for askedPeriod.
func (e *Exchange) SendNotice(address string) {
	e.mu.Lock()
	e.asked[address] = e.timer.Now()
	e.mu.Unlock()
	e.encodeTo([]string{address}, e.notice().Encode)
}

// askedAddresses returns the addresses that SendNotice was called for lately,
// without those in besides.
func (e *Exchange) askedAddresses(now time.Time, besides []string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []string
	for address, at := range e.asked {
		if now.Sub(at) > askedPeriod {
			delete(e.asked, address)
		} else if !slices.Contains(besides, address) {
			list = append(list, address)
		}
	}
	return list
}

// SendAnswers sends answers to one host at once.
func (e *Exchange) SendAnswers(address string, a Answers) {
	a.Member, _ = e.header()
	e.encodeTo([]string{address}, a.Encode)
}

// SendTokens sends a message about tokens of limits to one host at once.
func (e *Exchange) SendTokens(address string, t Tokens) {
	t.Member, _ = e.header()
	e.encodeTo([]string{address}, t.Encode)
}

func (e *Exchange) sendNotices() {
	defer e.wg.Done()
	ticks, sub := timer.Ticks(e.timer, regularInterval)
	defer sub.Cancel()
	for {
		addressees := e.sendStatus(e.timer.Now())
		spacing := minSpacing + spacingPerHost*time.Duration(max(0, addressees-hostsAtMinSpacing))
		if !timer.Pause(e.timer, e.done, spacing) {
			return
		}
		select {
		case <-e.trigger:
		case <-ticks:
			e.table.Expire(e.timer.Now())
		case <-e.done:
			return
		}
	}
}

// sendStatus sends this host's notice to those that are due to get it, and
// returns how many get one after each change.
func (e *Exchange) sendStatus(now time.Time) int {
	targets := e.table.Targets(now)
	n := e.notice()
	e.notices++
	regular := now.Sub(e.lastRegular) >= regularInterval-minSpacing
	if regular {
		n.Capacity = e.source.Capacity()
	}
	if targets.Direct && (e.notices <= initialAddressNotices || e.notices%addressNoticeInterval == 0) {
		n.KnownAddresses = slices.Concat(targets.OnChange, targets.Legacy)
	}
	to := targets.OnChange
	if regular {
		e.lastRegular = now
		to = slices.Concat(to, targets.Regular)
		e.encodeTo(targets.Legacy, n.EncodeLegacy)
	}
	to = slices.Concat(to, e.askedAddresses(now, to))
	e.encodeTo(to, n.Encode)
	return len(targets.OnChange)
}

func (e *Exchange) sendSummaries() {
	defer e.wg.Done()
	ticks, sub := timer.Ticks(e.timer, regularInterval)
	defer sub.Cancel()
	for {
		regular := false
		select {
		case <-e.summaryTrigger:
		case <-ticks:
			regular = true
		case <-e.done:
			return
		}
		e.sendSummary(e.timer.Now(), regular)
		if !timer.Pause(e.timer, e.done, summarySpacing) {
			return
		}
	}
}

// sendSummary sends summaries to the hosts that this one is a relay of and to the
// relays of other zones and, if regular, introductions to other hosts that report
// to it.
func (e *Exchange) sendSummary(now time.Time, regular bool) {
	targets := e.table.Targets(now)
	if len(targets.Summary) > 0 {
		e.encodeTo(targets.Summary, e.summary(now, &e.near, false).Encode)
	}
	if len(targets.Far) > 0 && now.Sub(e.lastFar) >= farInterval {
		e.lastFar = now
		e.encodeTo(targets.Far, e.summary(now, &e.far, true).Encode)
	}
	if regular {
		for zone, addresses := range targets.Introduce {
			e.encodeTo(addresses, e.introduction(now, zone).Encode)
		}
	}
}

// summary returns the next summary. It carries the roster unless the last two
// summaries did and it has not changed since.
func (e *Exchange) summary(now time.Time, last *sentRoster, far bool) Summary {
	s := e.source.Summary(far)
	roster := e.table.Roster(now)
	if far {
		roster = slices.Concat(roster, e.table.FarRelays(now, e.self.Zone))
	}
	s.Member, s.Sequence = e.header()
	if !slices.Equal(roster, last.members) {
		last.members, last.sent = roster, 0
		last.version++
	}
	s.RosterVersion = last.version
	if last.sent < 2 || last.sent%rosterInterval == 0 {
		s.Roster = roster
	}
	last.sent++
	return s
}

// introductionVersion is the roster version of introductions, which are meant for
// one host only.
const introductionVersion = 0

// introduction returns a summary for hosts of a zone that do not know its relays.
func (e *Exchange) introduction(now time.Time, zone string) Summary {
	s := e.source.Summary(true)
	s.Member, s.Sequence = e.header()
	s.Roster = slices.Concat(e.table.Candidates(now, zone), e.table.FarRelays(now, zone))
	return s
}

// encodeTo sends an encoded message to addresses.
func (e *Exchange) encodeTo(addresses []string, encode func() ([]byte, error)) {
	if len(addresses) == 0 {
		return
	}
	datagram, err := encode()
	if err != nil || len(datagram) > maxDatagram {
		e.log.Info("notice not sent", "bytes", len(datagram), "cause", trace.UserMessage(err))
		return
	}
	e.sendTo(addresses, datagram)
}

func (e *Exchange) sendTo(addresses []string, datagram []byte) {
	for _, address := range addresses {
		e.write(address, datagram)
	}
}

// writeUDP sends a datagram. One that can't be sent is treated as lost.
func (e *Exchange) writeUDP(address string, datagram []byte) {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		e.log.Info("address can't be used", "address", address, "cause", err.Error())
		return
	}
	_, _ = e.conn.WriteToUDP(datagram, to)
}

func (e *Exchange) receive() {
	defer e.wg.Done()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			e.handle(e.timer.Now(), from.String(), buffer[:n])
		}
	}
}

// handle applies a datagram that was received from an address.
func (e *Exchange) handle(now time.Time, from string, datagram []byte) {
	m, err := Decode(datagram)
	switch {
	case err != nil:
		e.log.Info("notice dropped", "from", from, "bytes", len(datagram), "cause", err.Error())
	case m.Notice != nil:
		if e.table.Apply(now, *m.Notice) {
			e.source.HandleNotice(*m.Notice)
		}
	case m.Summary != nil:
		m.Summary.Forwarded = from != m.Summary.Address
		if e.table.ApplySummary(now, *m.Summary) {
			e.forward(now, *m.Summary, datagram)
			e.source.HandleSummary(*m.Summary)
		}
	case m.Answers != nil:
		e.source.HandleAnswers(*m.Answers)
	case m.FreshnessQuery != nil:
		e.source.HandleFreshnessQuery(*m.FreshnessQuery)
	case m.FreshnessAnswer != nil:
		e.source.HandleFreshnessAnswer(*m.FreshnessAnswer)
	case m.Tokens != nil:
		e.source.HandleTokens(*m.Tokens)
	}
}

// forward passes a summary of another zone with a roster on: a relay to the hosts
// that report to it, another host, which the relay of the other zone took for one,
// to its own relays.
func (e *Exchange) forward(now time.Time, s Summary, datagram []byte) {
	if s.Zone == e.self.Zone || s.Forwarded || s.Roster == nil || s.RosterVersion == introductionVersion {
		return
	}
	e.mu.Lock()
	last := e.forwarded[s.Host]
	due := s.RosterVersion != last.version || now.Sub(last.at) >= forwardInterval
	if due {
		e.forwarded[s.Host] = forwardedRoster{version: s.RosterVersion, at: now}
	}
	e.mu.Unlock()
	if !due {
		return
	}
	targets := e.table.Targets(now)
	if e.table.IsRelay(now) {
		e.sendTo(targets.Summary, datagram)
	} else if !targets.Direct {
		e.sendTo(slices.Concat(targets.OnChange, targets.Regular), datagram)
	}
}
