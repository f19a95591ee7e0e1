// Package link provides a loopback TCP proxy with fault injection.
//
// A Link forwards connections to a target, which may change for new connections.
// A fault applies to open and new connections alike. When a fault that drops
// bytes ends, all open connections are reset: their streams are incomplete and
// must not be resumed.
package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Harm is the fault that a link applies to its connections.
type Harm uint8

// The faults. Their order matters: a direction of a connection drops its bytes
// under a given fault and all later ones.
const (
	// None forwards all bytes.
	None Harm = iota
	// Slow delays all bytes.
	Slow
	// Reset resets open connections, and new ones once they have sent something.
	Reset
	// OneWay forwards what the client sends and drops the server's replies.
	OneWay
	// Silent drops all bytes.
	Silent
)

// latency is the delay of each read under Slow.
const latency = 150 * time.Millisecond

// Link listens at one address and forwards connections to another.
type Link struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	fault  Harm
	// conns maps the client side of each open connection to its server side.
	conns map[net.Conn]net.Conn
	wg    sync.WaitGroup
}

// Listen starts a link that listens at address and forwards to target.
func Listen(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, conns: make(map[net.Conn]net.Conn)}
	l.wg.Add(1)
	go l.acceptLoop()
	return l, nil
}

// Address returns the address at which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetTarget sets the address to which new connections are forwarded.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// SetHarm sets the fault for all connections. It resets the open ones if the new
// fault is Reset or the previous one dropped bytes.
func (l *Link) SetHarm(f Harm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.fault
	l.fault = f
	if f == Reset || previous == OneWay || previous == Silent {
		for client, server := range l.conns {
			resetConn(client)
			resetConn(server)
		}
	}
}

func (l *Link) currentFault() Harm {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

// Close stops listening, closes all connections and waits for their goroutines.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	for client, server := range l.conns {
		_ = client.Close()
		_ = server.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

func (l *Link) acceptLoop() {
	defer l.wg.Done()
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.wg.Add(1)
		go l.forward(client)
	}
}

// forward copies one connection in both directions until both have ended.
func (l *Link) forward(client net.Conn) {
	defer l.wg.Done()
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	server, err := net.Dial("tcp4", target)
	if err != nil {
		resetConn(client)
		return
	}
	l.mu.Lock()
	l.conns[client] = server
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		l.copy(server, client, Silent)
	}()
	go func() {
		defer directions.Done()
		l.copy(client, server, OneWay)
	}()
	directions.Wait()
	l.mu.Lock()
	delete(l.conns, client)
	l.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copy copies bytes from src to dst and drops them under the fault dropsFrom and
// all later ones.
func (l *Link) copy(dst, src net.Conn, dropsFrom Harm) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		switch fault := l.currentFault(); {
		case n == 0 && fault >= dropsFrom:
			// The end of the stream is dropped too; dst sees the reset at the end
			// of the fault.
			return
		case fault >= dropsFrom:
			continue
		case fault == Reset:
			resetConn(dst)
			resetConn(src)
			return
		case fault == Slow:
			time.Sleep(latency)
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				resetConn(src)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			resetConn(dst)
			return
		}
	}
}

// resetConn closes a connection with a TCP reset, so that the peer gets an error
// rather than the end of the stream.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
