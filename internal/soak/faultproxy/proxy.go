// Package faultproxy provides a loopback TCP proxy with fault injection.
//
// The proxy forwards connections to a target, which may change for new
// connections. A fault applies to open and new connections alike. When a fault
// that drops bytes ends, all open connections are reset: their streams are
// incomplete and must not be continued.
package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/kingcupquay/kingcupquay/internal/standin/segment"
)

// Fault is a fault that a proxy applies to its connections.
type Fault uint8

// The faults. Their order matters: a direction of a connection that drops its
// bytes under one fault also drops them under all later faults.
const (
	// None forwards all bytes.
	None Fault = iota
	// Slow delays all bytes.
	Slow
	// Hold holds all bytes back until the fault changes, as if the target stood still.
	Hold
	// HoldReplies forwards what the client sends and holds the server's replies back until
	// the fault changes.
	HoldReplies
	// Reset resets open connections, and new ones once they have sent something.
	Reset
	// DropReplies forwards what the client sends and drops the server's replies.
	DropReplies
	// DropAll drops all bytes.
	DropAll
)

// latency is the delay of each read under Slow.
const latency = 150 * time.Millisecond

// backlog is how many connections may wait to be accepted after Reopen.
const backlog = 1024

// Proxy is a TCP proxy that listens at one address and forwards connections to
// another.
type Proxy struct {
	address string

	mu sync.Mutex
	// listener is replaced by Reopen. reserved is a socket that holds the port in
	// between, without listening; -1 for none.
	listener net.Listener
	reserved int
	target   string
	fault    Fault
	// changed is closed and replaced when the fault changes.
	changed chan struct{}
	// conns maps the client side of each open connection to its server side.
	conns map[net.Conn]net.Conn
	wg    sync.WaitGroup
	// closed is set once Close has closed the open connections.
	closed bool
}

// Listen starts a proxy that listens at address and forwards to target.
func Listen(address, target string) (*Proxy, error) {
	config := net.ListenConfig{Control: func(network, address string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(fd uintptr) { optionErr = setOption(int(fd), unix.SO_REUSEPORT, true) })
		return errors.Join(err, optionErr, segment.Control(network, address, conn))
	}}
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{address: listener.Addr().String(), listener: listener, reserved: -1, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]net.Conn)}
	p.wg.Add(1)
	go p.acceptLoop(listener)
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.address }

// Shut stops listening, so that new connections are refused. Open connections stay,
// and no other socket can take the port.
func (p *Proxy) Shut() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	port := p.listener.Addr().(*net.TCPAddr).Port
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	p.reserved = fd
	// The socket shares the port with the listener, so that the port is held all the
	// time: a process that is being started may have a copy of the listener for a
	// moment after it is closed.
	if err := errors.Join(setOption(fd, unix.SO_REUSEADDR, true), setOption(fd, unix.SO_REUSEPORT, true)); err != nil {
		return err
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	if err := p.listener.Close(); err != nil {
		return err
	}
	// No other socket can be bound without the option.
	return setOption(fd, unix.SO_REUSEADDR, false)
}

// setOption switches an option of a socket.
func setOption(fd, option int, on bool) error {
	value := 0
	if on {
		value = 1
	}
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, value)
}

// Reopen listens again after Shut.
func (p *Proxy) Reopen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := setOption(p.reserved, unix.SO_REUSEADDR, true); err != nil {
		return err
	}
	if err := unix.Listen(p.reserved, backlog); err != nil {
		return err
	}
	// FileListener duplicates the descriptor.
	file := os.NewFile(uintptr(p.reserved), p.address)
	p.reserved = -1
	listener, err := net.FileListener(file)
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	p.listener = listener
	p.wg.Add(1)
	go p.acceptLoop(listener)
	return nil
}

// ResetConnections resets the open connections. New ones are accepted.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetOpen()
}

// resetOpen resets the open connections. The caller holds p.mu.
func (p *Proxy) resetOpen() {
	for client, server := range p.conns {
		resetConn(client)
		resetConn(server)
	}
}

// SetTarget sets the address to which new connections are forwarded.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetFault sets the fault for all connections. It resets the open ones if the new
// fault is Reset or the previous one dropped bytes.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.fault
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f == Reset || previous == DropReplies || previous == DropAll {
		p.resetOpen()
	}
}

// awaitRelease waits while the fault holds bytes back, those of replies or of calls, and
// returns the one after it.
func (p *Proxy) awaitRelease(replies bool) Fault {
	for {
		p.mu.Lock()
		fault, changed := p.fault, p.changed
		p.mu.Unlock()
		if fault != Hold && (fault != HoldReplies || !replies) {
			return fault
		}
		<-changed
	}
}

// Close stops listening, closes all connections and waits for their goroutines.
func (p *Proxy) Close() {
	p.SetFault(None)
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	if p.reserved >= 0 {
		_ = unix.Close(p.reserved)
		p.reserved = -1
	}
	for client, server := range p.conns {
		_ = client.Close()
		_ = server.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *Proxy) acceptLoop(listener net.Listener) {
	defer p.wg.Done()
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		p.wg.Add(1)
		go p.forward(client)
	}
}

// forward copies one connection in both directions until both have ended.
func (p *Proxy) forward(client net.Conn) {
	defer p.wg.Done()
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.Dial("tcp4", target)
	if err != nil {
		resetConn(client)
		return
	}
	p.mu.Lock()
	p.conns[client] = server
	if p.closed {
		_ = client.Close()
		_ = server.Close()
	}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		p.copy(server, client, DropAll)
	}()
	go func() {
		defer directions.Done()
		p.copy(client, server, DropReplies)
	}()
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copy copies bytes from src to dst and drops them under the fault dropsFrom and
// all later ones.
func (p *Proxy) copy(dst, src net.Conn, dropsFrom Fault) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		switch fault := p.awaitRelease(dropsFrom == DropReplies); {
		case n == 0 && fault >= dropsFrom:
			// The end of the stream is dropped too; dst is reset when the fault
			// ends.
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
