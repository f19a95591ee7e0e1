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

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/record/lease"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/placement"
)

const (
	placementTickInterval = 500 * time.Millisecond
	// placementRole is the rendezvous hashing name that selects the placement host
	// of a zone.
	placementRole = "placement"
	// placementKey is the prefix of the zones' placement keys in the store.
	placementKey = "placement/"
	// engineTimeout limits one call to an engine.
	engineTimeout = 3 * time.Second
	// placementTimeout limits the store calls for the lease.
	placementTimeout = 5 * time.Second
	maxModelsBytes   = 1 << 20
)

var (
	ordersSent    = metrics.GetOrCreateCounter("kingcupquay_placement_orders_total")
	ordersUnknown = metrics.GetOrCreateCounter("kingcupquay_placement_orders_unclear_total")
)

// placer orders the engines of the zone to load and unload models while this
// host holds the placement lease of the zone. The create revision of the lease's
// key is the fencing token of the orders.
type placer struct {
	host   *Host
	timing lease.Timing

	mu      sync.Mutex
	planner *placement.Planner
	text    *services.Text
	// session is the lease, 0 while it is not held. It must not be relied on after
	// validUntil. renewedAt is when the last attempt to acquire or renew it began.
	session    store.LeaseID
	validUntil time.Time
	renewedAt  time.Time
	// callInFlight reports whether a store call is in progress.
	callInFlight bool
	stopped      bool
}

func newPlacer(h *Host) *placer {
	return &placer{host: h, timing: lease.DefaultTiming, planner: placement.NewPlanner(placement.DefaultOptions)}
}

// tick acquires, renews or releases the lease and starts the actions that are
// due.
func (p *placer) tick(now time.Time) {
	text := p.host.text.Load()
	if text == nil {
		return
	}
	h := p.host
	h.mu.Lock()
	preferred := rendezvous.First(h.view.Live(now, h.settings.Zone), placementRole) == h.settings.Name
	h.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.text != text {
		p.text = text
		p.planner.SetEngines(placement.DesiredState(text, h.settings.Zone))
	}
	p.maintainLease(now, preferred)
	if p.holdsLease(now) {
		for _, a := range p.planner.Tick(now) {
			go p.execute(a)
		}
	}
}

// holdsLease reports whether this host may send orders; the caller holds p.mu.
func (p *placer) holdsLease(now time.Time) bool {
	return p.session != 0 && !p.stopped && now.Before(p.validUntil)
}

// maintainLease starts the store call that is due; preferred reports whether
// this host ranks first in the zone. The caller holds p.mu.
func (p *placer) maintainLease(now time.Time, preferred bool) {
	if p.session != 0 && !now.Before(p.validUntil) {
		p.loseLease("lease not renewed in time")
	}
	switch {
	case p.callInFlight || p.stopped:
		return
	case p.session == 0 && preferred && now.Sub(p.renewedAt) >= p.timing.RetryInterval:
		p.callInFlight, p.renewedAt = true, now
		go p.acquire(now)
	case p.session != 0 && !preferred:
		session := p.session
		p.loseLease("another host is first in the zone")
		p.callInFlight = true
		go p.revoke(session)
	case p.session != 0 && now.Sub(p.renewedAt) >= p.timing.RenewInterval:
		p.callInFlight, p.renewedAt = true, now
		go p.renew(now, p.session)
	}
}

// loseLease stops planning; it does not revoke the lease in the store. The
// caller holds p.mu.
func (p *placer) loseLease(reason string) {
	p.session = 0
	p.planner.LeaseLost()
	p.host.note("placement given up", reason, p.host.settings.Zone)
}

func (p *placer) key() string { return placementKey + p.host.settings.Zone }

// acquire acquires the lease if no host holds it. The lease is valid for its TTL
// less the margin, counted from sent, the time before the first call.
func (p *placer) acquire(sent time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), placementTimeout)
	defer cancel()
	session, fencing := p.createKey(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callInFlight = false
	if session == 0 {
		return
	}
	now := p.host.timer.Now()
	p.session, p.validUntil = session, sent.Add(p.timing.TTL-p.timing.Margin)
	p.planner.LeaseAcquired(now, fencing, lease.FormerHolderStopTime(now, p.timing, engineTimeout))
	p.host.note("placement taken", "this host is first in the zone", p.host.settings.Zone)
}

// createKey creates the placement key of the zone under a new lease and returns
// the lease and the fencing token. It returns lease 0 if the key exists, on
// failure, and if the outcome is unknown: then a key that was created is deleted
// when its lease is revoked or expires.
func (p *placer) createKey(ctx context.Context) (store.LeaseID, int64) {
	s := p.host.store
	if _, exists, err := s.Get(ctx, p.key()); exists || err != nil {
		return 0, 0
	}
	session, err := s.Grant(ctx, p.timing.TTL)
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
	p.callInFlight = false
	switch {
	case p.session != session:
	case errors.Is(err, store.ErrLeaseNotFound):
		p.loseLease("lease lapsed")
	case err == nil:
		p.validUntil = sent.Add(p.timing.TTL - p.timing.Margin)
	}
}

func (p *placer) revoke(session store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), placementTimeout)
	defer cancel()
	_ = p.host.store.Revoke(ctx, session)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callInFlight = false
}

// stop ends placement for good. With graceful, it also revokes the lease in the
// store, so that another host can acquire it at once.
func (p *placer) stop(graceful bool) {
	p.mu.Lock()
	session := p.session
	p.stopped = true
	if session != 0 {
		p.loseLease("host stopping")
	}
	p.mu.Unlock()
	if session != 0 && graceful {
		p.revoke(session)
	}
}

// execute performs one action and reports its outcome to the planner. Orders are
// sent only while the lease is held.
func (p *placer) execute(a placement.Action) {
	p.mu.Lock()
	b, ok := p.text.Backend(a.Engine)
	holdsLease := p.holdsLease(p.host.timer.Now())
	p.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
	defer cancel()
	if a.Kind == placement.Read {
		p.readModels(ctx, b)
		return
	}
	outcome := placement.Refused
	if holdsLease {
		outcome = p.sendOrder(ctx, b, a)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner.RecordOrderOutcome(p.host.timer.Now(), a.Engine, outcome)
}

func (p *placer) readModels(ctx context.Context, b *services.Backend) {
	began := p.host.timer.Now()
	held, err := fetchModels(ctx, b.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.planner.RecordReadFailure(p.host.timer.Now(), b.Name)
		return
	}
	p.planner.RecordRead(p.host.timer.Now(), began, b.Name, held)
}

var errStatus = errors.New("unexpected status")

// fetchModels returns the artifacts that an engine holds and whether each is
// ready. One that is listed without a status is ready.
func fetchModels(ctx context.Context, address string) (map[string]bool, error) {
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
	for _, model := range list.Data {
		held[model.ID] = model.Status == "" || model.Status == "ready"
	}
	return held, nil
}

// sendOrder sends an order to an engine. The order certainly had no effect if no
// connection was made or the engine answered with a status from 300 to 499.
// After any other failure it may have had one.
func (p *placer) sendOrder(ctx context.Context, b *services.Backend, a placement.Action) placement.Outcome {
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
	var opErr *net.OpError
	switch {
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return placement.Refused
	case err != nil:
		ordersUnknown.Inc()
		return placement.OutcomeUnknown
	}
	_ = resp.Body.Close()
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return placement.Accepted
	case resp.StatusCode < http.StatusInternalServerError:
		return placement.Refused
	}
	ordersUnknown.Inc()
	return placement.OutcomeUnknown
}
