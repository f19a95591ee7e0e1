package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/fleet/notice"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/freshness"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
)

const (
	// proofInterval is how often it is checked whether a proof is to be sought.
	proofInterval = 50 * time.Millisecond
	// proofReadTimeout limits a read of the configuration in the store. A slow store
	// answers in less.
	proofReadTimeout = 900 * time.Millisecond
	// knownWait is how long a request with a known key waits for a younger proof if that
	// of the host is too old, as after the host was frozen.
	knownWait = 150 * time.Millisecond
	// unknownWait is how long a request with an unknown key waits for a proof of a time
	// after it arrived. In normal operation one comes within 1.4 s without a read of the
	// store for it.
	unknownWait = 1500 * time.Millisecond
	// maxKnownWaiting and maxUnknownWaiting bound the requests that wait.
	maxKnownWaiting   = 256
	maxUnknownWaiting = 64
	// directTargets is how many hosts of a small fleet are queried first.
	directTargets = 2
)

var (
	proofAge          = metrics.NewGauge("kingcupquay_proof_age_seconds", nil)
	proofQueriesTotal = metrics.NewCounter("kingcupquay_proof_queries_total")
	proofAnswersTotal = metrics.NewCounter("kingcupquay_proof_answers_total")
	proofReadsTotal   = map[bool]*metrics.Counter{
		false: metrics.NewCounter(`kingcupquay_proof_reads_total{outcome="answered"}`),
		true:  metrics.NewCounter(`kingcupquay_proof_reads_total{outcome="failed"}`),
	}
)

// proofs keeps the proof that this host's configuration is current, with which it
// decides about keys if their revocation is strict.
type proofs struct {
	host *Host
	// wake requests that run looks for what to do.
	wake chan struct{}

	mu     sync.Mutex
	prover *freshness.Prover
	// changed is closed when a younger proof counts or a newer configuration is in force.
	changed chan struct{}
	// youngest and version are those at the last change.
	youngest freshness.Proof
	version  int64
	// waiting holds how many requests with known and with unknown keys wait.
	waiting map[bool]int
	// readFailed is set if the last read failed. readRevision is the store revision of the
	// value that was read last. Only read uses them, whose calls don't overlap.
	readFailed   bool
	readRevision int64
}

func newProofs(h *Host) *proofs {
	return &proofs{host: h, prover: freshness.NewProver(rand.Uint64()), wake: make(chan struct{}, 1), changed: make(chan struct{}), waiting: make(map[bool]int)}
}

// active reports whether this host needs proofs with a configuration.
func (p *proofs) active(c *routes.Config) bool {
	return p.host.settings.StrictRevoke && c != nil && c.HasOrganisations()
}

// run looks for proofs until the host stops.
func (p *proofs) run() {
	defer p.host.wait.Done()
	ticks, sub := timer.Ticks(p.host.timer, proofInterval)
	defer sub.Cancel()
	for {
		p.step()
		select {
		case <-ticks:
		case <-p.wake:
		case <-p.host.ctx.Done():
			return
		}
	}
}

// trigger requests that a proof be sought now, if one is due.
func (p *proofs) trigger() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// refresh passes the version in force to the prover and wakes requests that wait, if
// there is something new. The caller holds p.mu.
func (p *proofs) refresh() {
	version := p.host.config.Version()
	p.prover.SetVersion(version)
	youngest, _ := p.prover.Youngest()
	if youngest != p.youngest || version != p.version {
		p.youngest, p.version = youngest, version
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

func (p *proofs) step() {
	if !p.active(p.host.config.Current()) {
		return
	}
	p.mu.Lock()
	p.refresh()
	now := p.host.timer.Uptime()
	step := p.prover.Next(now, p.view, rand.Float64())
	if age, proved := p.prover.Age(now); proved {
		proofAge.Set(age.Seconds())
	}
	p.mu.Unlock()
	for _, q := range step.Queries {
		proofQueriesTotal.Inc()
		p.host.notices.SendFreshnessQuery(q.Address, notice.FreshnessQuery{Number: q.Number, Age: q.Age})
	}
	if step.Fetch != "" {
		p.host.fetchConfig(step.Fetch)
	}
	if step.Read {
		go p.read()
	}
}

// read reads the configuration in the store and puts it in force if it is newer. The
// prover took the time before.
func (p *proofs) read() {
	h := p.host
	ctx, cancel := context.WithTimeout(h.ctx, proofReadTimeout)
	defer cancel()
	e, found, err := h.adapter.Store.Get(ctx, h.adapter.ConfigKey)
	failed := err != nil
	proofReadsTotal[failed].Inc()
	if found && !failed && e.ModRevision != p.readRevision {
		p.readRevision = e.ModRevision
		h.applyConfig(e.Value, "store")
	}
	if failed != p.readFailed && h.ctx.Err() == nil {
		p.readFailed = failed
		cause := ""
		if failed {
			cause = err.Error()
		}
		h.log.Info("configuration confirmed by the store", "confirmed", !failed, "cause", cause)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// The version in force is now at least that in the store. If the value in the store was
	// refused, or is gone or of a lower version, the version in force stays the valid one.
	version := h.config.Version()
	p.prover.SetVersion(version)
	p.prover.ReadDone(version, failed)
	p.refresh()
}

// view returns the hosts to query and this host's rank among those that read.
func (p *proofs) view() freshness.View {
	h := p.host
	now := h.timer.Now()
	v := freshness.View{Rank: freshness.NotReader}
	live := h.members.Live()
	listed := make(map[string]bool)
	add := func(list *[]string, m notice.Member) {
		if m.Host != h.settings.Name && !listed[m.Host] {
			listed[m.Host] = true
			*list = append(*list, m.Address)
		}
	}
	zones := []string{h.settings.Zone}
	for _, m := range live {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	var first []string
	for i, zone := range zones {
		relays := h.members.Relays(now, zone)
		for n, m := range relays {
			if n == 0 {
				first = append(first, m.Host)
			}
			if i == 0 {
				add(&v.Near, m)
			} else {
				add(&v.Far, m)
			}
		}
	}
	if !h.members.LargeFleet() {
		first = []string{h.settings.Name}
		for i, m := range live {
			first = append(first, m.Host)
			if i < directTargets {
				add(&v.Far, m)
			}
		}
	}
	for _, m := range live {
		add(&v.Others, m)
	}
	if h.readsStore() {
		slices.Sort(first)
		v.Rank = slices.Index(first, h.settings.Name)
		if v.Rank < 0 {
			// The host stands in for a relay.
			v.Rank = len(first)
		}
	}
	return v
}

// HandleFreshnessQuery answers the query of another host, if this one has a younger
// proof.
func (s *statusSource) HandleFreshnessQuery(q notice.FreshnessQuery) {
	h := (*Host)(s)
	if !h.proofs.active(h.config.Current()) {
		return
	}
	h.proofs.mu.Lock()
	h.proofs.refresh()
	a, younger := h.proofs.prover.HandleQuery(h.timer.Uptime(), q.Number, q.Age)
	h.proofs.mu.Unlock()
	if younger && h.notices != nil {
		proofAnswersTotal.Inc()
		h.notices.SendFreshnessAnswer(q.Address, notice.FreshnessAnswer{Answer: a})
	}
}

// HandleFreshnessAnswer learns the proof of another host.
func (s *statusSource) HandleFreshnessAnswer(a notice.FreshnessAnswer) {
	p := s.proofs
	p.mu.Lock()
	p.prover.HandleAnswer(a.Answer)
	p.refresh()
	newer := a.Version > p.version
	p.mu.Unlock()
	if newer {
		p.trigger()
	}
}

// judge decides about the key of a request that was read at a time. The proofs that count
// are of versions up to the configuration that it looks at. The caller holds p.mu.
func (p *proofs) judge(key string, read time.Duration) (*routes.Organisation, freshness.Verdict) {
	c := p.host.config.Current()
	if !c.HasOrganisations() {
		return new(routes.Organisation), freshness.Served
	}
	o, known := c.OrganisationOfKey(key)
	return o, p.prover.Judge(known, read, p.host.settings.Revoke())
}

// authorize returns the organisation that holds a key. A request whose key can't be
// decided about waits for a younger proof, if one is expected soon.
func (p *proofs) authorize(key string) (*routes.Organisation, *result.Error) {
	read := p.host.timer.Uptime()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	o, v := p.judge(key, read)
	if v == freshness.Undecided && p.prover.Hopeful(read) {
		o, v = p.await(key, read, o != nil)
	}
	switch v {
	case freshness.Served:
		return o, nil
	case freshness.Denied:
		return nil, unknownKey()
	}
	return nil, outdated()
}

// await waits until a key can be decided about, for some time. known is whether the
// configuration has it. The caller holds p.mu, which is released meanwhile.
func (p *proofs) await(key string, read time.Duration, known bool) (o *routes.Organisation, v freshness.Verdict) {
	wait, limit := unknownWait, maxUnknownWaiting
	if known {
		wait, limit = knownWait, maxKnownWaiting
	}
	if p.waiting[known] >= limit {
		return nil, freshness.Undecided
	}
	p.waiting[known]++
	defer func() { p.waiting[known]-- }()
	p.prover.Want(read)
	p.trigger()
	expired := make(chan struct{})
	sub := p.host.timer.After(wait, func(time.Time) { close(expired) })
	defer sub.Cancel()
	for v = freshness.Undecided; v == freshness.Undecided; {
		changed, over := p.changed, false
		p.mu.Unlock()
		select {
		case <-changed:
		case <-expired:
			over = true
		case <-p.host.ctx.Done():
			over = true
		}
		p.mu.Lock()
		if o, v = p.judge(key, read); over {
			break
		}
	}
	return o, v
}
