package onlineapi

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/limit"
)

// loanMargin is how long after its deadline a request may still count at the
// home host of a limit if its own host was lost.
const loanMargin = 5 * time.Second

// LimitHomes asks the hosts that count small limits.
type LimitHomes interface {
	// Borrow lets a request in at the home host, or refuses it.
	Borrow(home string, in *wire.LoanRequest) *result.Error
	// Return ends a loan; it does not block.
	Return(home string, in *wire.LoanRequest)
}

// borrow asks for a request in at every limit that another host counts. The
// returned function gives it all back.
func (f *API) borrow(away []limit.Limit, lasts time.Duration) (func(), *result.Error) {
	var asked []*wire.LoanRequest
	giveBack := func() {
		for i, in := range asked {
			f.p.LimitHomes.Return(away[i].Home, in)
		}
	}
	for _, l := range away {
		in := &wire.LoanRequest{
			Service: l.Service, Name: l.Name, Origin: f.p.Host, Number: f.loans.Add(1),
			ForMs: (lasts + loanMargin).Milliseconds(),
		}
		// A loan whose answer was lost is given back too.
		asked = append(asked, in)
		if failure := f.p.LimitHomes.Borrow(l.Home, in); failure != nil {
			giveBack()
			return nil, failure
		}
	}
	return giveBack, nil
}

// Lend answers another host that asks to let a request in, or returns one.
func (f *API) Lend(text *services.Text, in *wire.LoanRequest) *result.Error {
	l := limit.Limit{Service: in.GetService(), Name: in.GetName()}
	loan := limit.Loan{Origin: in.GetOrigin(), Number: in.GetNumber()}
	f.mu.Lock()
	defer f.mu.Unlock()
	if in.GetReturned() {
		f.gate.Return(l, loan)
		return nil
	}
	rate, concurrency, ok := terms(text, l)
	if !ok {
		return result.New(result.Overloaded, "no limit of %s is known here yet", l.Name).WithRetry(time.Second)
	}
	now := f.p.Timer.Now()
	f.gate.SetHosts(f.p.Hosts())
	return f.gate.Lend(now, l, rate, concurrency, loan, now.Add(time.Duration(in.GetForMs())*time.Millisecond))
}

// terms returns the rate and the concurrency of a limit.
func terms(text *services.Text, l limit.Limit) (float64, int, bool) {
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
