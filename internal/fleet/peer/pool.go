// Package peer provides the gRPC connections between entry hosts. A host keeps
// two connections to each peer it calls, one for online and control messages
// and one for batch, so that online messages never wait behind batch messages
// on a connection.
package peer

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

const (
	pingAfter   = 10 * time.Second
	pingTimeout = 2 * time.Second
	// readyTimeout bounds the wait for a new connection.
	readyTimeout = time.Second
	// maxMessageBytes bounds one message between hosts.
	maxMessageBytes = 16 << 20
)

// Pool holds the connections to peers, which it opens on first use. It is safe
// for concurrent use.
type Pool struct {
	credentials credentials.TransportCredentials

	mu    sync.Mutex
	conns map[poolKey]*grpc.ClientConn
}

type poolKey struct {
	address string
	urgency request.Urgency
}

// NewPool returns an empty pool; a nil config means plain TCP.
func NewPool(config *tls.Config) *Pool {
	p := &Pool{credentials: insecure.NewCredentials(), conns: make(map[poolKey]*grpc.ClientConn)}
	if config != nil {
		p.credentials = credentials.NewTLS(config)
	}
	return p
}

// Client returns a client for messages of an urgency to the host at address.
func (p *Pool) Client(address string, urgency request.Urgency) (wire.PeerClient, error) {
	conn, err := p.conn(address, urgency)
	if err != nil {
		return nil, err
	}
	return wire.NewPeerClient(conn), nil
}

func (p *Pool) conn(address string, urgency request.Urgency) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolKey{address, urgency}
	if conn, ok := p.conns[key]; ok {
		return conn, nil
	}
	conn, err := p.dial(address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.conns[key] = conn
	return conn, nil
}

// Ready reports whether a connection to address is open or can be opened within
// readyTimeout. If not, nothing was sent to the peer; a call that fails after
// Ready returned true may have reached it.
func (p *Pool) Ready(ctx context.Context, address string, urgency request.Urgency) bool {
	conn, err := p.conn(address, urgency)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		state := conn.GetState()
		if state == connectivity.Ready {
			return true
		}
		conn.Connect()
		if state == connectivity.TransientFailure || !conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}

func (p *Pool) dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.credentials),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	)
}

// CloseAddress closes the connections to an address. Calls in progress on them fail.
func (p *Pool) CloseAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, urgency := range []request.Urgency{request.Online, request.Batch} {
		key := poolKey{address, urgency}
		if conn, ok := p.conns[key]; ok {
			_ = conn.Close()
			delete(p.conns, key)
		}
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, key)
	}
}

// NewServer returns a gRPC server for peers; a nil config means plain TCP.
func NewServer(config *tls.Config) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingAfter / 2, PermitWithoutStream: true}),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
	}
	if config != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(config)))
	}
	return grpc.NewServer(options...)
}
