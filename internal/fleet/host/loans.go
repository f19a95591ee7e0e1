package host

import (
	"context"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/onlineapi"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// limitClient calls the home hosts of small limits. A limit too small to be
// divided among the hosts is counted by one of them, its home host.
type limitClient Host

var _ onlineapi.LimitHomes = (*limitClient)(nil)

// Borrow asks the home host to admit a request. If it can't be reached, the
// request is refused, since exceeding the limit may do harm.
func (p *limitClient) Borrow(home string, in *wire.LoanRequest) *result.Error {
	reply, err := p.callLend(home, in)
	if err != nil {
		return result.New(result.Overloaded, "host %s, which counts the limit of %s, can't be asked", home, in.GetName()).WithRetry(time.Second)
	}
	return reply.GetFailure().Err()
}

// Return ends an admission in the background; errors are ignored.
func (p *limitClient) Return(home string, in *wire.LoanRequest) {
	loanReturn := &wire.LoanRequest{Service: in.GetService(), Name: in.GetName(), Origin: in.GetOrigin(), Number: in.GetNumber(), Returned: true}
	go func() { _, _ = p.callLend(home, loanReturn) }()
}

func (p *limitClient) callLend(home string, in *wire.LoanRequest) (*wire.LoanReply, error) {
	address, _ := (*Host)(p).peerAddress(home)
	client, err := p.pool.Client(address, request.Online)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	return client.Lend(ctx, in)
}

// Lend admits a request of another host under a small limit that is counted
// here, or ends such an admission.
func (s *peerServer) Lend(_ context.Context, in *wire.LoanRequest) (*wire.LoanReply, error) {
	return &wire.LoanReply{Failure: wire.NewFailure(s.host.callerAPI.Lend(s.host.text.Load(), in))}, nil
}
