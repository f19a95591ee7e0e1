package host

import (
	"context"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/caller"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// homes is the host as it asks the home hosts of small limits.
type homes Host

var _ caller.Homes = (*homes)(nil)

// Borrow lets a request in at the home host. If that one can't be asked, the
// request is refused, for the limit may protect something.
func (p *homes) Borrow(home string, in *wire.LoanRequest) *result.Error {
	reply, err := p.ask(home, in)
	if err != nil {
		return result.New(result.Overloaded, "host %s, which counts the limit of %s, can't be asked", home, in.GetName()).WithRetry(time.Second)
	}
	return reply.GetFailure().Err()
}

// Return ends a loan in the background.
func (p *homes) Return(home string, in *wire.LoanRequest) {
	back := &wire.LoanRequest{Service: in.GetService(), Name: in.GetName(), Origin: in.GetOrigin(), Number: in.GetNumber(), Returned: true}
	go func() { _, _ = p.ask(home, back) }()
}

func (p *homes) ask(home string, in *wire.LoanRequest) (*wire.LoanReply, error) {
	address, _ := (*Host)(p).peerAddress(home)
	client, err := p.pool.Peer(address, request.Online)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	return client.Lend(ctx, in)
}

// Lend lets a request of another host in under a small limit counted here.
func (s *peerServer) Lend(_ context.Context, in *wire.LoanRequest) (*wire.LoanReply, error) {
	return &wire.LoanReply{Failure: wire.FailureOf(s.host.front.Lend(s.host.text.Load(), in))}, nil
}
