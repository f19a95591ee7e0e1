package forward

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

const (
	// maxHosts bounds the other hosts that one attempt is passed to. All but the
	// last did not send it to a server.
	maxHosts = 3
	// minUnreached is how many servers in a row a call finds unreachable before its
	// next attempt goes through another host, or all of them if they are fewer. One
	// may have failed alone.
	minUnreached = 2
)

var (
	passedOnTotal    = metrics.NewCounter("kingcupquay_passed_on_total")
	notPassedOnTotal = metrics.NewCounter("kingcupquay_passed_on_refused_total")
)

// errCutOff means that an attempt was given up because this host is cut off from
// all servers. It says nothing about the server.
var errCutOff = errors.New("no head of an answer, and this host is cut off from all servers")

// Order says how another host has to carry out an attempt of a call.
type Order struct {
	// Software is the software version that the server must have, "" for any.
	Software string
	// Avoid holds the ids of servers that had the call already.
	Avoid []string
	// MaxWait bounds the wait for a slot.
	MaxWait time.Duration
	Resume  exchange.Resume
	// Begun is set if the caller has a part of the answer, so that the call keeps its
	// service whatever the configuration has become since.
	Begun bool
	// AvoidHosts names hosts that are not asked if another can be.
	AvoidHosts []string
}

// PeerReply is what another host says of an attempt that it carried out.
type PeerReply struct {
	// Server is the server that the host picked, with its ID and SoftwareVersion;
	// the ID is empty if it picked none.
	Server backend.Server
	// Reply is the server's reply. The body is cut off, with an error, if the
	// server's answer or the connection to the host breaks off.
	Reply *exchange.Reply
	// Failure says why there is no reply.
	Failure *result.Error
	// Unable is set if the host could not or would not carry out the attempt, so
	// that another host may. Nothing was sent to a server.
	Unable bool
}

// Peers has other hosts carry out attempts of calls for a host that reaches no
// server.
type Peers interface {
	// CutOff reports whether this host reaches no server.
	CutOff() bool
	// Pick returns a host to pass an attempt to, none of those tried; "" if there is
	// none.
	Pick(tried []string) string
	// Send has a host carry out one attempt of a call. Cancelling ctx ends it there
	// and at the server.
	Send(ctx context.Context, host string, c *exchange.Call, o Order) PeerReply
}

// alone is the Peers of a host without others.
type alone struct{}

func (alone) CutOff() bool         { return false }
func (alone) Pick([]string) string { return "" }
func (alone) Send(context.Context, string, *exchange.Call, Order) PeerReply {
	return PeerReply{Unable: true, Failure: result.New(result.NoBackend, "there is no other host")}
}

// SetPeers sets the hosts through which calls are passed on. It must be called
// before the first call.
func (f *Forwarder) SetPeers(p Peers) { f.peers = p }

// reaching holds the servers that one call found unreachable from this host since
// it reached one, and the other hosts through which an attempt of it failed.
type reaching struct {
	unreached map[string]bool
	hosts     []string
	// refused is the error of the other hosts if none of them could help. This host
	// may be cut off by mistake, so it then tries one server itself; ownTry is set
	// once it does.
	refused *result.Error
	ownTry  bool

	mu sync.Mutex
	// runningHosts and runningServers are where attempts that run beside the next one
	// were passed on to, as far as known; protected by mu.
	runningHosts, runningServers []string
}

// noteRunning records that an attempt beside which another one may begin was passed on
// to a host, and to a server there if that is known.
func (r *reaching) noteRunning(host, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.runningHosts, host) {
		r.runningHosts = append(r.runningHosts, host)
	}
	if server != "" && !slices.Contains(r.runningServers, server) {
		r.runningServers = append(r.runningServers, server)
	}
}

// observe records whether an attempt's server was reached.
func (r *reaching) observe(a *attempt) {
	switch {
	case a.host != "":
		if a.err != nil {
			r.avoidHost(a)
		}
	case a.err == nil:
		r.unreached, r.refused, r.ownTry = nil, nil, false
	case errors.Is(a.err, exchange.ErrWithdrawn):
		// The server stopped taking work; that says nothing about the way to it.
	case !a.sent:
		if r.unreached == nil {
			r.unreached = make(map[string]bool)
		}
		r.unreached[a.server.ID] = true
	}
}

// avoidHost has the next attempts avoid the host that carried an attempt out.
func (r *reaching) avoidHost(a *attempt) {
	if a.host != "" && !slices.Contains(r.hosts, a.host) {
		r.hosts = append(r.hosts, a.host)
	}
}

// passOnCause returns why the next attempt of a call, at a server with the given
// software version if that is not empty, has to go through another host, "" if it
// has not.
func (f *Forwarder) passOnCause(c *exchange.Call, software string, r *reaching) string {
	if f.peers.CutOff() {
		return "this host is cut off from all servers"
	}
	unreached := len(r.unreached)
	if unreached == 0 {
		return ""
	}
	servers := f.directory.Usable(c.Service)
	if software != "" {
		servers = f.directory.UsableWith(c.Service, software)
	}
	if unreached >= min(minUnreached, len(servers)) {
		return "the request reached no server"
	}
	return ""
}

// sendUnlessCutOff is send, but gives an attempt up that gets no head within each
// further time of patience and whose host is then cut off from all servers. Its
// connection may never fail, and the call may go on through another host.
func (f *Forwarder) sendUnlessCutOff(ctx context.Context, c *exchange.Call, choice scheduler.Choice, resume exchange.Resume, patience time.Duration) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan *attempt, 1)
	go func() { done <- f.send(ctx, c, choice, resume) }()
	ticker := time.NewTicker(patience)
	defer ticker.Stop()
	for {
		select {
		case a := <-done:
			cancelAttempt := a.cancel
			a.cancel = func() { cancelAttempt(); cancel() }
			return a
		case <-ticker.C:
			if !f.peers.CutOff() {
				continue
			}
			cancel()
			a := <-done
			if !a.sent {
				return a
			}
			if a.reply != nil {
				_ = a.reply.Body.Close()
				a.reply = nil
			}
			a.err, a.sent = &exchange.SendError{Err: errCutOff, Sent: true}, true
			return a
		}
	}
}

// mayTry reports whether this host may try a server itself. It does so only once
// after no other host could help.
func (r *reaching) mayTry() bool {
	if r.refused == nil {
		return true
	}
	first := !r.ownTry
	r.ownTry = true
	return first
}

// forgetRefusal has the next attempt ask other hosts again, if it has to go through one.
func (r *reaching) forgetRefusal() { r.refused, r.ownTry = nil, false }

// order returns the order for an attempt that avoids servers that had the call.
// Those that this host can't reach may be reached from elsewhere.
func (r *reaching) order(software string, avoid map[string]bool, maxWait time.Duration, resume exchange.Resume) Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := Order{Software: software, MaxWait: maxWait, Resume: resume, AvoidHosts: slices.Concat(r.hosts, r.runningHosts)}
	for _, id := range slices.Sorted(maps.Keys(avoid)) {
		if !r.unreached[id] && !slices.Contains(r.runningServers, id) {
			o.Avoid = append(o.Avoid, id)
		}
	}
	o.Avoid = append(o.Avoid, r.runningServers...)
	return o
}

// passOn has another host carry out one attempt. It returns an error, with
// result.RanNo, if none picked a server, and nothing at all if there is no other
// host. unable is set if each of those asked could not help. It calls note with the
// host, before the host picks a server, and again with that server.
func (f *Forwarder) passOn(ctx context.Context, c *exchange.Call, o Order, cause string, note func(host, server string)) (a *attempt, failure *result.Error, unable bool) {
	var tried []string
	var refusal *result.Error
	for len(tried) < maxHosts && ctx.Err() == nil {
		host := f.peers.Pick(slices.Concat(o.AvoidHosts, tried))
		if host == "" {
			host = f.peers.Pick(tried)
		}
		if host == "" {
			break
		}
		tried = append(tried, host)
		note(host, "")
		ctx, cancel := context.WithCancel(ctx)
		a = &attempt{host: host, started: f.timer.Now(), cancel: cancel}
		reply := f.peers.Send(ctx, host, c, o)
		a.server = reply.Server
		note(host, reply.Server.ID)
		switch {
		case reply.Failure == nil:
			a.reply, a.sent = reply.Reply, !reply.Reply.NotRun
		case reply.Unable || reply.Server.ID == "" && reply.Failure.Ran() == result.RanNo:
			cancel()
			notPassedOnTotal.Inc()
			f.log.Info("not passed on", "request", c.ID, "host", host, "cause", reply.Failure.Error())
			refusal = reply.Failure
			if !reply.Unable {
				return nil, refusal, false
			}
			continue
		default:
			a.sent = reply.Failure.Ran() != result.RanNo
			a.err = &exchange.SendError{Err: reply.Failure, Sent: a.sent}
		}
		passedOnTotal.Inc()
		f.log.Info("passed on", "request", c.ID, "host", host, "server", a.server.ID, "software", a.server.SoftwareVersion, "cause", cause)
		return a, nil, false
	}
	if refusal == nil {
		return nil, nil, false
	}
	return nil, result.New(result.NoBackend, "none of %d other hosts reached a server: %v", len(tried), refusal).WithRetry(noBackendRetryAfter), true
}
