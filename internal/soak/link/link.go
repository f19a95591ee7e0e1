// Package link is a loopback link between two processes that can be harmed.
//
// It carries TCP connections to a target that may change. A harmed link treats
// open and new connections alike; connections that lived through harm other than
// a delay are reset at its end, as they have lost bytes.
package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Harm is what a link does to its connections.
type Harm uint8

// The kinds of harm.
const (
	// None carries everything.
	None Harm = iota
	// Slow carries everything late.
	Slow
	// Reset resets open connections, and new ones once they have sent something.
	Reset
	// OneWay carries what the dialing side sends and drops the answers.
	OneWay
	// Silent drops everything.
	Silent
)

// delay is how late a slow link carries each piece.
const delay = 150 * time.Millisecond

// Link listens at one address and carries connections to another.
type Link struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	harm   Harm
	// open are the connections of both sides, by their dialing side.
	open map[net.Conn]net.Conn
	wait sync.WaitGroup
}

// Listen opens a link at a loopback address.
func Listen(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, open: make(map[net.Conn]net.Conn)}
	l.wait.Add(1)
	go l.accept()
	return l, nil
}

// Address returns where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetTarget makes new connections go to another address.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// SetHarm begins or ends harm.
func (l *Link) SetHarm(h Harm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.harm
	l.harm = h
	if h == Reset || before == OneWay || before == Silent {
		for near, far := range l.open {
			reset(near)
			reset(far)
		}
	}
}

func (l *Link) current() Harm {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.harm
}

// Close ends the link and its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	for near, far := range l.open {
		_ = near.Close()
		_ = far.Close()
	}
	l.mu.Unlock()
	l.wait.Wait()
}

func (l *Link) accept() {
	defer l.wait.Done()
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.wait.Add(1)
		go l.carry(near)
	}
}

// carry carries one connection until one side ends it.
func (l *Link) carry(near net.Conn) {
	defer l.wait.Done()
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	far, err := net.Dial("tcp4", target)
	if err != nil {
		reset(near)
		return
	}
	l.mu.Lock()
	l.open[near] = far
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		l.copy(far, near, Silent)
	}()
	go func() {
		defer both.Done()
		l.copy(near, far, OneWay)
	}()
	both.Wait()
	l.mu.Lock()
	delete(l.open, near)
	l.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// copy carries bytes one way; harm from dropped on loses them.
func (l *Link) copy(to, from net.Conn, dropped Harm) {
	piece := make([]byte, 32<<10)
	for {
		n, err := from.Read(piece)
		switch harm := l.current(); {
		case n == 0 && harm >= dropped:
			// The end is lost like the rest, until the harm ends with a reset.
			return
		case harm >= dropped:
			continue
		case harm == Reset:
			reset(to)
			reset(from)
			return
		case harm == Slow:
			time.Sleep(delay)
		}
		if n > 0 {
			if _, err := to.Write(piece[:n]); err != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// reset ends a connection so that the other side is told of an error.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
