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
	// minSpacing is the least time between two notices of a host; for each near
	// host beyond hostsAtMinSpacing, spacingPerHost is added.
	minSpacing        = 8 * time.Millisecond
	hostsAtMinSpacing = 8
	spacingPerHost    = 3 * time.Millisecond
	// nearInterval is the longest time between two notices to near hosts without
	// a change, farInterval the shortest between two to far ones.
	nearInterval = 250 * time.Millisecond
	farInterval  = 600 * time.Millisecond
	// The first firstWithKnown notices and every everyWithKnown-th later one carry
	// all known addresses.
	firstWithKnown = 8
	everyWithKnown = 16
	// maxDatagram is the largest size of a notice in bytes.
	maxDatagram = 60 << 10
)

// Exchange sends this host's notices and receives those of others.
type Exchange struct {
	timer timer.Service
	log   logr.Logger
	book  *PeerTable
	conn  *net.UDPConn
	// compose returns the status to send without Start, Number and Known.
	compose func() Notice
	// onNotice is called with each notice that is newer than all earlier ones of
	// its host.
	onNotice func(n Notice)
	start    int64

	trigger chan struct{}
	done    chan struct{}
	wg      sync.WaitGroup
}

// Listen opens the UDP address at which notices arrive.
func Listen(address string) (*net.UDPConn, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", local)
	return conn, trace.ConvertSystemError(err)
}

// NewExchange returns an exchange on an open connection; Close closes the
// connection.
func NewExchange(t timer.Service, log logr.Logger, book *PeerTable, conn *net.UDPConn, compose func() Notice, onNotice func(Notice)) *Exchange {
	return &Exchange{
		timer: t, log: log, book: book, conn: conn, compose: compose, onNotice: onNotice, start: t.Now().UnixNano(),
		trigger: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Start begins to send and receive notices.
func (e *Exchange) Start() {
	e.wg.Add(2)
	go e.receive()
	go e.send()
}

// TriggerSend requests that a notice be sent soon.
func (e *Exchange) TriggerSend() {
	select {
	case e.trigger <- struct{}{}:
	default:
	}
}

// Close stops sending and receiving.
func (e *Exchange) Close() {
	close(e.done)
	_ = e.conn.Close()
	e.wg.Wait()
}

func (e *Exchange) send() {
	defer e.wg.Done()
	ticks, sub := timer.Ticks(e.timer, nearInterval)
	defer sub.Cancel()
	var lastFar time.Time
	for number := int64(1); ; number++ {
		near, far := e.book.Addresses()
		now := e.timer.Now()
		n := e.compose()
		n.Start, n.Sequence = e.start, number
		if number <= firstWithKnown || number%everyWithKnown == 0 {
			n.KnownAddresses = slices.Concat(near, far)
		}
		e.sendTo(n, near)
		if now.Sub(lastFar) >= farInterval {
			lastFar = now
			e.sendTo(n.withoutEnds(), far)
		}
		spacing := minSpacing + spacingPerHost*time.Duration(max(0, len(near)-hostsAtMinSpacing))
		if !timer.Pause(e.timer, e.done, spacing) {
			return
		}
		select {
		case <-e.trigger:
		case <-ticks:
		case <-e.done:
			return
		}
		e.book.Expire(e.timer.Now())
	}
}

func (e *Exchange) sendTo(n Notice, addresses []string) {
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
		// A datagram that can't be sent is treated as lost.
		if _, err := e.conn.WriteToUDP(datagram, to); err != nil && errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

func (e *Exchange) receive() {
	defer e.wg.Done()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := e.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		received, err := Decode(buffer[:n])
		if err != nil {
			e.log.Info("notice dropped", "cause", err.Error())
			continue
		}
		if e.book.Apply(e.timer.Now(), received) {
			e.onNotice(received)
		}
	}
}
