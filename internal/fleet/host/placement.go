package host

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/record/lease"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/placement"
)

const (
	placementTick = 500 * time.Millisecond
	// placementRole is the name by which a zone's placement host is found.
	placementRole = "placement"
	placementKey  = "placement/"
	engineTimeout = 3 * time.Second
	// placementTimeout bounds the store calls for the lease.
	placementTimeout = 5 * time.Second
	maxModelsBytes   = 1 << 20
)

var (
	ordersSent    = metrics.GetOrCreateCounter("kingcupquay_placement_orders_total")
	ordersUnclear = metrics.GetOrCreateCounter("kingcupquay_placement_orders_unclear_total")
)

// placer runs the zone's placement while this host holds its lease. The lease
// key's create revision is the fencing number.
type placer struct {
	host  *Host
	terms lease.Terms

	mu      sync.Mutex
	planner *placement.Planner
	text    *services.Text
	// session is 0 while the lease is not held; it counts until valid.
	session store.LeaseID
	valid   time.Time
	renewed time.Time
	// busy says that a store call is under way.
	busy    bool
	stopped bool
}

func newPlacer(h *Host) *placer {
	return &placer{host: h, terms: lease.DefaultTerms, planner: placement.NewPlanner(placement.DefaultOptions)}
}

// tick takes, renews or gives up the lease and carries out what is due.
func (p *placer) tick(now time.Time) {
	text := p.host.text.Load()
	if text == nil {
		return
	}
	h := p.host
	h.mu.Lock()
	first := zone.First(h.view.Live(now, h.settings.Zone), placementRole) == h.settings.Name
	h.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.text != text {
		p.text = text
		p.planner.SetEngines(placement.DesiredState(text, h.settings.Zone))
	}
	p.keep(now, first)
	if p.held(now) {
		for _, a := range p.planner.Tick(now) {
			go p.carryOut(a)
		}
	}
}

func (p *placer) held(now time.Time) bool {
	return p.session != 0 && !p.stopped && now.Before(p.valid)
}

// keep starts the store call that is due; the caller holds p.mu.
func (p *placer) keep(now time.Time, first bool) {
	if p.session != 0 && !now.Before(p.valid) {
		p.drop("lease not renewed in time")
	}
	switch {
	case p.busy || p.stopped:
		return
	case p.session == 0 && first && now.Sub(p.renewed) >= p.terms.Retry:
		p.busy, p.renewed = true, now
		go p.acquire(now)
	case p.session != 0 && !first:
		session := p.session
		p.drop("another host is first in the zone")
		p.busy = true
		go p.revoke(session)
	case p.session != 0 && now.Sub(p.renewed) >= p.terms.Renew:
		p.busy, p.renewed = true, now
		go p.renew(now, p.session)
	}
}

// drop ends acting; the caller holds p.mu.
func (p *placer) drop(why string) {
	p.session = 0
	p.planner.LeaseLost()
	p.host.note("placement given up", why, p.host.settings.Zone)
}

func (p *placer) key() string { return placementKey + p.host.settings.Zone }

// acquire takes the lease if nobody has it.
func (p *placer) acquire(sent time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), placementTimeout)
	defer cancel()
	session, fencing := p.take(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
	if session == 0 {
		return
	}
	now := p.host.timer.Now()
	p.session, p.valid = session, sent.Add(p.terms.TTL-p.terms.Margin)
	p.planner.LeaseAcquired(now, fencing, lease.WaitOut(now, p.terms, engineTimeout))
	p.host.note("placement taken", "this host is first in the zone", p.host.settings.Zone)
}

// take returns session 0 unless the key was certainly taken; an unclear one
// lapses with its lease.
func (p *placer) take(ctx context.Context) (store.LeaseID, int64) {
	s := p.host.store
	if _, exists, err := s.Get(ctx, p.key()); exists || err != nil {
		return 0, 0
	}
	session, err := s.Grant(ctx, p.terms.TTL)
	if err != nil {
		return 0, 0
	}
	outcome, err := s.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: p.key(), Target: store.CreateRevision}},
		Puts:     []store.Put{{Key: p.key(), Value: []byte(p.host.settings.Name), Lease: session}},
	})
	if err != nil || !outcome.Succeeded {
		_ = s.Revoke(ctx, session)
		return 0, 0
	}
	return session, outcome.Revision
}

func (p *placer) renew(sent time.Time, session store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), placementTimeout)
	defer cancel()
	_, err := p.host.store.KeepAlive(ctx, session)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
	switch {
	case p.session != session:
	case errors.Is(err, store.ErrLeaseNotFound):
		p.drop("lease lapsed")
	case err == nil:
		p.valid = sent.Add(p.terms.TTL - p.terms.Margin)
	}
}

func (p *placer) revoke(session store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), placementTimeout)
	defer cancel()
	_ = p.host.store.Revoke(ctx, session)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
}

// stop gives the lease up for good; graceful says that the store is told.
func (p *placer) stop(graceful bool) {
	p.mu.Lock()
	session := p.session
	p.stopped = true
	if session != 0 {
		p.drop("host stopping")
	}
	p.mu.Unlock()
	if session != 0 && graceful {
		p.revoke(session)
	}
}

// carryOut does one action and reports its end.
func (p *placer) carryOut(a placement.Action) {
	p.mu.Lock()
	b, ok := p.text.Backend(a.Engine)
	held := p.held(p.host.timer.Now())
	p.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
	defer cancel()
	if a.Kind == placement.Read {
		p.read(ctx, b)
		return
	}
	outcome := placement.Refused
	if held {
		outcome = p.send(ctx, b, a)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner.RecordOrderOutcome(p.host.timer.Now(), a.Engine, outcome)
}

func (p *placer) read(ctx context.Context, b *services.Backend) {
	began := p.host.timer.Now()
	held, err := modelsOf(ctx, b.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.planner.RecordReadFailure(p.host.timer.Now(), b.Name)
		return
	}
	p.planner.RecordRead(p.host.timer.Now(), began, b.Name, held)
}

var errStatus = errors.New("unexpected status")

// modelsOf asks an engine what it holds; an artifact without a status is ready.
func modelsOf(ctx context.Context, address string) (map[string]bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/models", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errStatus
	}
	var list struct {
		Data []struct {
			ID     string `json:"id"`
			Status string `json:"status"`
		} `json:"data"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxModelsBytes)).Decode(&list); err != nil {
		return nil, err
	}
	held := make(map[string]bool, len(list.Data))
	for _, one := range list.Data {
		held[one.ID] = one.Status == "" || one.Status == "ready"
	}
	return held, nil
}

// send gives an order to an engine.
func (p *placer) send(ctx context.Context, b *services.Backend, a placement.Action) placement.Outcome {
	action := "load"
	if a.Kind == placement.Unload {
		action = "unload"
	}
	body, err := json.Marshal(map[string]any{"action": action, "model": a.Artifact, "fencing": a.Fencing, "beside": a.KeepOld})
	if err != nil {
		return placement.Refused
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return placement.Refused
	}
	ordersSent.Inc()
	p.host.note("engine ordered", action+" "+a.Artifact+" under "+strconv.FormatInt(a.Fencing, 10), b.Name)
	resp, err := http.DefaultClient.Do(req)
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		return placement.Refused
	case err != nil:
		ordersUnclear.Inc()
		return placement.OutcomeUnknown
	}
	_ = resp.Body.Close()
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return placement.Accepted
	case resp.StatusCode < http.StatusInternalServerError:
		return placement.Refused
	}
	ordersUnclear.Inc()
	return placement.OutcomeUnknown
}
