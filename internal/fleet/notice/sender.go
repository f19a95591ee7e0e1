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
)

const (
	// spacingLeast is the least time between two notices of a host; beyond
	// spacingHosts near hosts, spacingEach is added for each.
	spacingLeast = 8 * time.Millisecond
	spacingHosts = 8
	spacingEach  = 3 * time.Millisecond
	// heartbeat is the most time between two notices to near hosts, farEvery
	// about the time between two to far ones.
	heartbeat = 250 * time.Millisecond
	farEvery  = 600 * time.Millisecond
	// knownFirst is how many first notices tell all known addresses, knownEvery
	// that every so many later ones do.
	knownFirst = 8
	knownEvery = 16
	// maxDatagram bounds a notice.
	maxDatagram = 60 << 10
)

// Exchange sends this host's notices and receives those of others.
type Exchange struct {
	timer timer.Service
	log   logr.Logger
	book  *PeerTable
	conn  *net.UDPConn
	// compose gives the notice to send; Start, Number and Known are filled in here.
	compose func() Notice
	// heard takes each notice that is newer than all before from its host.
	heard func(n Notice)
	start int64

	changed chan struct{}
	done    chan struct{}
	wait    sync.WaitGroup
}

// Listen opens the address that notices come in at.
func Listen(address string) (*net.UDPConn, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", local)
	return conn, trace.ConvertSystemError(err)
}

// NewExchange returns an exchange at an open address, which it closes; Start
// runs it.
func NewExchange(t timer.Service, log logr.Logger, book *PeerTable, conn *net.UDPConn, compose func() Notice, heard func(Notice)) *Exchange {
	return &Exchange{
		timer: t, log: log, book: book, conn: conn, compose: compose, heard: heard, start: t.Now().UnixNano(),
		changed: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Start begins to send and receive.
func (e *Exchange) Start() {
	e.wait.Add(2)
	go e.receive()
	go e.send()
}

// TriggerSend makes a notice leave soon.
func (e *Exchange) TriggerSend() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// Close ends the exchange.
func (e *Exchange) Close() {
	close(e.done)
	_ = e.conn.Close()
	e.wait.Wait()
}

func (e *Exchange) send() {
	defer e.wait.Done()
	beats, sub := timer.Ticks(e.timer, heartbeat)
	defer sub.Cancel()
	var farAt time.Time
	for number := int64(1); ; number++ {
		near, far := e.book.Addresses()
		now := e.timer.Now()
		n := e.compose()
		n.Start, n.Sequence = e.start, number
		if number <= knownFirst || number%knownEvery == 0 {
			n.KnownAddresses = slices.Concat(near, far)
		}
		e.tell(n, near)
		if now.Sub(farAt) >= farEvery {
			farAt = now
			e.tell(n.far(), far)
		}
		spacing := spacingLeast + spacingEach*time.Duration(max(0, len(near)-spacingHosts))
		if !timer.Pause(e.timer, e.done, spacing) {
			return
		}
		select {
		case <-e.changed:
		case <-beats:
		case <-e.done:
			return
		}
		e.book.Expire(e.timer.Now())
	}
}

func (e *Exchange) tell(n Notice, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	datagram, err := n.Encode()
	if err != nil || len(datagram) > maxDatagram {
		e.log.Info("notice not sent", "bytes", len(datagram), "cause", trace.UserMessage(err))
		return
	}
	for _, address := range addresses {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			e.log.Info("address can't be used", "address", address, "cause", err.Error())
			continue
		}
		// A datagram that can't leave is like one that is lost.
		if _, err := e.conn.WriteToUDP(datagram, to); err != nil && errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

func (e *Exchange) receive() {
	defer e.wait.Done()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := e.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		one, err := Decode(buffer[:n])
		if err != nil {
			e.log.Info("notice dropped", "cause", err.Error())
			continue
		}
		if e.book.Apply(e.timer.Now(), one) {
			e.heard(one)
		}
	}
}
