package onlineapi

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/limit"
)

// loanMargin is how long after its deadline a request still counts at the home
// host of a limit if its own host failed without returning the loan.
const loanMargin = 5 * time.Second

// LimitHomes calls the home hosts of limits. Each limit too small to be split among
// the hosts is enforced by one host, its home.
type LimitHomes interface {
	// Borrow counts a request at the home host, which may refuse it.
	Borrow(home string, in *wire.LoanRequest) *result.Error
	// Return ends a loan; it does not block.
	Return(home string, in *wire.LoanRequest)
}

// borrowRemote borrows from every limit that another host enforces. The returned
// function returns all loans.
func (f *API) borrowRemote(remote []limit.Limit, duration time.Duration) (func(), *result.Error) {
	var requested []*wire.LoanRequest
	release := func() {
		for i, in := range requested {
			f.parts.LimitHomes.Return(remote[i].Home, in)
		}
	}
	for _, l := range remote {
		in := &wire.LoanRequest{
			Service: l.Service, Name: l.Name, Origin: f.parts.Host, Number: f.lastLoan.Add(1),
			ForMs: (duration + loanMargin).Milliseconds(),
		}
		// Appended before the call, so that a loan is returned even if the
		// answer to Borrow was lost.
		requested = append(requested, in)
		if failure := f.parts.LimitHomes.Borrow(l.Home, in); failure != nil {
			release()
			return nil, failure
		}
	}
	return release, nil
}

// Lend handles a request of another host to borrow from a limit, or to return a
// loan.
func (f *API) Lend(text *services.Text, in *wire.LoanRequest) *result.Error {
	l := limit.Limit{Service: in.GetService(), Name: in.GetName()}
	loan := limit.Loan{Origin: in.GetOrigin(), Number: in.GetNumber()}
	f.mu.Lock()
	defer f.mu.Unlock()
	if in.GetReturned() {
		f.limiter.Return(l, loan)
		return nil
	}
	rate, concurrency, ok := limitValues(text, l)
	if !ok {
		return result.New(result.Overloaded, "no limit of %s is known here yet", l.Name).WithRetry(time.Second)
	}
	now := f.parts.Timer.Now()
	f.limiter.SetHosts(f.parts.Hosts())
	return f.limiter.Lend(now, l, rate, concurrency, loan, now.Add(time.Duration(in.GetForMs())*time.Millisecond))
}

// limitValues returns the rate and the concurrency of a limit, and whether
// the services text defines it.
func limitValues(text *services.Text, l limit.Limit) (float64, int, bool) {
	if text == nil {
		return 0, 0, false
	}
	if l.Service {
		s, ok := text.Service(l.Name)
		if !ok {
			return 0, 0, false
		}
		return s.RequestsPerSecond, s.Concurrency, true
	}
	o, ok := text.Organisation(l.Name)
	if !ok {
		return 0, 0, false
	}
	return o.RequestsPerSecond, o.Concurrency, true
}
