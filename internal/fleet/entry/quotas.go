package entry

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/notice"
	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/serving/quota"
)

const (
	// quotaInterval is how often a home moves tokens and checks whether it is one.
	quotaInterval = 100 * time.Millisecond
	// maxTokenAsks is how often a token is asked for before the fallback bucket decides: twice
	// of the home of the zone, and then of that of another zone.
	maxTokenAsks = 3
	// expirePeriod is after which time a deferred ask is answered at the latest.
	expirePeriod = 10 * time.Millisecond
	// noHomeRetry is the time after which a caller may come back that was refused
	// although no home was reached. Another one is found in about that time.
	noHomeRetry = 500 * time.Millisecond
	// quotaHomeName is the name by which the hosts of a small fleet rank themselves.
	quotaHomeName = "home of limits"
)

// quotas connects the limits of organisations to the messages of the host.
type quotas struct {
	host      *Host
	reports   quotaReports
	tick      *timer.Subscription
	expecting bool

	mu sync.Mutex
	// config is the configuration whose limits the home has applied.
	config  *routes.Config
	limited bool
	home    *quota.Home
	holder  *quota.Holder
	support *quota.Support
	// waiting are the asks of this host that wait for an answer, by number.
	waiting map[uint64]chan quota.Answer
	// deferred are the addresses to which deferred asks are answered.
	deferred map[quota.Ask]string
	// expiring is set while the answers to deferred asks are due.
	expiring bool
	// homeHost is the home of this host as of the last tick.
	homeHost string
}

func newQuotas(h *Host) *quotas {
	s := h.settings
	t := quota.Tolerance{Window: s.QuotaWindow(), Over: s.QuotaOver, Slack: s.QuotaSlack}
	q := &quotas{
		host: h, reports: newQuotaReports(), holder: quota.NewHolder(t, rand.Float64), support: quota.NewSupport(s.Name, s.Zone, h.started),
		waiting: make(map[uint64]chan quota.Answer), deferred: make(map[quota.Ask]string),
		expecting: slices.ContainsFunc(s.Seeds, func(seed string) bool { return seed != s.PeerAddress }),
	}
	q.home = quota.NewHome(t, func(organisation string) (quota.Limit, bool) {
		if q.config != nil {
			if o, known := q.config.Organisation(organisation); known && o.Limited() {
				return limitOf(o), true
			}
		}
		return quota.Limit{}, false
	})
	return q
}

func limitOf(o *routes.Organisation) quota.Limit { return quota.Limit{Rate: o.Rate, Burst: o.Burst} }

func (q *quotas) start() { q.tick = q.host.timer.Every(quotaInterval, q.update) }

func (q *quotas) close() { q.tick.Cancel() }

// applyConfig applies the configuration in force and reports whether it limits
// organisations. The caller holds q.mu.
func (q *quotas) applyConfig(now time.Time) bool {
	if c := q.host.config.Current(); c != q.config {
		q.config, q.limited = c, c.HasLimits()
		q.home.ApplyLimits(now)
	}
	return q.limited
}

// update decides whether this host is a home, and moves tokens.
func (q *quotas) update(now time.Time) {
	q.mu.Lock()
	limited := q.applyConfig(now)
	q.mu.Unlock()
	if !limited {
		return
	}
	live := q.host.members.Live()
	home, known := q.findHome()
	zones := q.zones(now)
	others := q.otherHomes(zones)
	q.mu.Lock()
	for _, m := range live {
		q.support.See(now, m.Host, m.Zone)
	}
	part := 0.0
	if known && home.Host == q.host.settings.Name {
		part = q.support.Share(now, q.scope(zones)) / float64(max(1, len(zones)))
	}
	changed := q.home.SetPart(now, part)
	moved := home.Host != q.homeHost
	q.homeHost = home.Host
	moves := q.home.Moves(now, others, "")
	q.home.Sweep(now)
	q.holder.Sweep(now)
	q.mu.Unlock()
	if changed || moved {
		q.reports.homeMoved()
		q.host.log.Info("home of limits", "home", home.Host, "active", part > 0, "part", part)
	}
	if moved {
		q.host.sendNoticeSoon()
	}
	q.reports.rank(now)
	q.send(moves)
}

// zones returns the zones that share the limits, nil if one home keeps all of each limit.
func (q *quotas) zones(now time.Time) []string {
	large := q.host.members.LargeFleet()
	q.mu.Lock()
	defer q.mu.Unlock()
	// A host that hears no other one although it expects some may be cut off.
	if !large && (q.support.Hosts(now) > 1 || !q.expecting) {
		return nil
	}
	if zones := q.host.settings.Zones; len(zones) > 0 {
		return zones
	}
	return slices.Collect(maps.Keys(q.support.Zones()))
}

func (q *quotas) scope(zones []string) quota.Scope {
	return quota.Scope{OfZone: zones != nil, Zones: len(q.host.settings.Zones), OthersExpected: q.expecting}
}

// findHome returns the home of this host's requests: in a large fleet the first relay of
// its zone, in a small one the first live host by rendezvous hashing.
func (q *quotas) findHome() (notice.Member, bool) {
	h := q.host
	if h.members.LargeFleet() {
		return (*slotsNetwork)(h).Coordinator(h.settings.Zone)
	}
	candidates := slices.DeleteFunc(h.members.Live(), func(m notice.Member) bool { return m.Legacy })
	if !h.stopping.Load() || len(candidates) == 0 {
		candidates = append(candidates, h.self)
	}
	names := make([]string, len(candidates))
	for i, m := range candidates {
		names[i] = m.Host
	}
	return candidates[slices.Index(names, rendezvous.First(names, quotaHomeName))], true
}

// otherHomes returns the homes of the other zones.
func (q *quotas) otherHomes(zones []string) []string {
	var homes []string
	for _, zone := range zones {
		if zone == q.host.settings.Zone {
			continue
		}
		if m, known := (*slotsNetwork)(q.host).Coordinator(zone); known && m.Host != q.host.settings.Name {
			homes = append(homes, m.Host)
		}
	}
	return homes
}

// findOtherHome returns the home of another zone, each host of a zone the one that
// rendezvous hashing assigns to it.
func (q *quotas) findOtherHome(now time.Time) (notice.Member, bool) {
	homes := q.otherHomes(q.zones(now))
	if len(homes) == 0 {
		return notice.Member{}, false
	}
	return q.host.members.Peer(rendezvous.First(homes, q.host.settings.Name))
}

func (q *quotas) send(moves []quota.Move) {
	for _, m := range moves {
		if to, known := q.host.members.Peer(m.Home); known {
			q.sendTokens(to.Address, notice.Tokens{Ask: &m.Ask})
		}
	}
}

func (q *quotas) sendTokens(address string, t notice.Tokens) {
	if q.host.notices != nil {
		q.host.notices.SendTokens(address, t)
	}
}

// fill names the home in a notice.
func (q *quotas) fill(now time.Time, n *notice.Notice) {
	q.mu.Lock()
	limited := q.applyConfig(now)
	q.mu.Unlock()
	if !limited {
		return
	}
	home, known := q.findHome()
	zones := q.zones(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	if known && q.support.Names(now, q.scope(zones)) {
		n.Home = home.Host
	}
}

// observe records the home that another host names.
func (q *quotas) observe(now time.Time, n notice.Notice) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case !q.applyConfig(now):
	case n.Stopping:
		q.support.Leave(n.Host)
	default:
		q.support.Report(now, n.Host, n.Zone, n.Home)
	}
}

// forget removes a host that has ended, and so is not merely cut off, from those that may
// have another home.
func (q *quotas) forget(host string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.support.Leave(host)
}

// Admit counts a request towards the limit of its organisation.
func (h *Host) Admit(ctx context.Context, o *routes.Organisation) (notRun func(), failure *result.Error) {
	return h.quotas.admit(ctx, o)
}

func (q *quotas) admit(ctx context.Context, o *routes.Organisation) (notRun func(), failure *result.Error) {
	now := q.host.timer.Now()
	q.mu.Lock()
	q.applyConfig(now)
	retryAfter, refused := q.holder.Refused(now, o.Name)
	number := q.holder.Next()
	q.mu.Unlock()
	if refused {
		return nil, q.refuse(o, "the home was asked lately", retryAfter)
	}
	for attempt := 1; attempt <= maxTokenAsks; attempt++ {
		home, known := q.findHome()
		if attempt == maxTokenAsks {
			home, known = q.findOtherHome(q.host.timer.Now())
		}
		if !known {
			continue
		}
		a, answered := q.ask(ctx, home, number, o.Name)
		switch {
		case ctx.Err() != nil:
			return nil, ended(ctx)
		case answered && a.Tokens > 0:
			q.reports.admitted(o.Name)
			return q.returner(home, number), nil
		case answered:
			q.mu.Lock()
			retryAfter = q.holder.RetryAfter(a.RetryAfter)
			q.mu.Unlock()
			return nil, q.refuse(o, "limit reached", retryAfter)
		}
	}
	q.mu.Lock()
	now = q.host.timer.Now()
	granted := q.holder.Fallback(now, o.Name, limitOf(o), q.support.Hosts(now))
	retryAfter = q.holder.RetryAfter(noHomeRetry)
	q.mu.Unlock()
	q.reports.fellBack(granted)
	if !granted {
		return nil, q.refuse(o, "no home reached", retryAfter)
	}
	q.reports.admitted(o.Name)
	return func() {}, nil
}

// ended returns the error for a request whose context ended while it waited for a token.
func ended(ctx context.Context) *result.Error {
	if failure := new(result.Error); errors.As(context.Cause(ctx), &failure) {
		return failure
	}
	return result.New(result.Stopping, "the caller left")
}

func (q *quotas) refuse(o *routes.Organisation, cause string, retryAfter time.Duration) *result.Error {
	if skipped, ok := q.reports.refused(q.host.timer.Now(), o.Name); ok {
		q.host.log.Info("over the limit", "organisation", o.Name, "per_s", o.Rate, "burst", o.Burst, "cause", cause, "retry_ms", retryAfter.Milliseconds(), "skipped", skipped)
	}
	return result.New(result.RateLimited, "organisation %s is over its limit of %g requests a second", o.Name, o.Rate).WithRetry(retryAfter)
}

// returner returns a function that returns the token of a request that no server ran.
func (q *quotas) returner(home notice.Member, number uint64) func() {
	return func() {
		if home.Host != q.host.settings.Name {
			q.sendTokens(home.Address, notice.Tokens{Returned: number})
			return
		}
		q.mu.Lock()
		defer q.mu.Unlock()
		q.home.Return(q.host.timer.Now(), home.Host, q.host.self.Start, number)
	}
}

// ask asks a home for a token. It returns false if there was no answer in time, or if the
// host does not take itself for a home.
func (q *quotas) ask(ctx context.Context, home notice.Member, number uint64, organisation string) (quota.Answer, bool) {
	request := quota.Ask{Host: q.host.settings.Name, Start: q.host.self.Start, Number: number, Organisation: organisation, Tokens: 1}
	answer := make(chan quota.Answer, 1)
	q.mu.Lock()
	q.waiting[number] = answer
	timeout := q.holder.Ask(q.host.timer.Now(), number, organisation, home.Host)
	q.mu.Unlock()
	timedOut := make(chan struct{})
	sub := q.host.timer.After(timeout, func(time.Time) { close(timedOut) })
	defer sub.Cancel()
	if home.Host == request.Host {
		q.give(request, home.Address)
	} else {
		q.sendTokens(home.Address, notice.Tokens{Ask: &request})
	}
	select {
	case a := <-answer:
		if a.NotHome {
			// The hosts disagree who the home is. They agree soon.
			select {
			case <-timedOut:
			case <-ctx.Done():
			}
		}
		return a, !a.NotHome
	case <-timedOut:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, number)
	select {
	case a := <-answer:
		return a, !a.NotHome
	default:
	}
	if ctx.Err() != nil {
		q.holder.Drop(number)
	} else if host, inARow, suspect := q.holder.Miss(number); host != "" {
		q.reports.missed(q.host.log, q.host.timer.Now(), host, timeout, inARow)
		if suspect && host != request.Host {
			q.host.members.Suspect(q.host.timer.Now(), host)
		}
	}
	return quota.Answer{}, false
}

// give answers an ask as a home, at once or when other homes have given tokens or not.
func (q *quotas) give(a quota.Ask, address string) {
	now := q.host.timer.Now()
	var others []string
	if !a.FromHome {
		others = q.otherHomes(q.zones(now))
	}
	q.mu.Lock()
	q.applyConfig(now)
	answer, moves, deferred := q.home.Ask(now, a, others)
	if deferred {
		q.deferred[a] = address
		if !q.expiring {
			q.expiring = true
			q.host.timer.After(expirePeriod, q.expire)
		}
	}
	q.mu.Unlock()
	if !deferred {
		q.reply(now, a.Host, address, answer)
	}
	q.send(moves)
}

// expire answers the deferred asks that other homes gave no tokens for.
func (q *quotas) expire(now time.Time) {
	q.mu.Lock()
	replies := q.home.Expire(now)
	if q.expiring = q.home.Deferred() > 0; q.expiring {
		q.host.timer.After(expirePeriod, q.expire)
	}
	q.mu.Unlock()
	q.replyAll(now, replies)
}

func (q *quotas) replyAll(now time.Time, replies []quota.Reply) {
	for _, r := range replies {
		q.mu.Lock()
		address := q.deferred[r.Ask]
		delete(q.deferred, r.Ask)
		q.mu.Unlock()
		q.reply(now, r.Ask.Host, address, r.Answer)
	}
}

// reply sends an answer to a host, which may be this one.
func (q *quotas) reply(now time.Time, host, address string, a quota.Answer) {
	if host == q.host.settings.Name {
		q.receive(now, host, a)
	} else {
		q.sendTokens(address, notice.Tokens{Answer: &a})
	}
}

// receive passes an answer to the request that waits for it.
func (q *quotas) receive(now time.Time, from string, a quota.Answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if waiting := q.waiting[a.Number]; waiting != nil && q.holder.Answered(now, from, a) {
		delete(q.waiting, a.Number)
		waiting <- a
	}
}

// handle applies a message of another host.
func (q *quotas) handle(now time.Time, t notice.Tokens) {
	switch {
	case t.Ask != nil:
		q.give(*t.Ask, t.Address)
	case t.Answer != nil && quota.IsMove(t.Answer.Number):
		q.mu.Lock()
		tokens, replies := q.home.Moved(now, *t.Answer)
		q.mu.Unlock()
		q.reports.received(tokens)
		q.replyAll(now, replies)
	case t.Answer != nil:
		q.receive(now, t.Host, *t.Answer)
	default:
		q.mu.Lock()
		defer q.mu.Unlock()
		q.home.Return(now, t.Host, t.Start, t.Returned)
	}
}
