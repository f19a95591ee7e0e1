package host

import (
	"context"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/quarantine"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// quarantineRole is the rendezvous hashing name that selects the home host of a
// zone, which permits the runs of suspect request bodies there.
const quarantineRole = "quarantine"

// quarantinePeers calls the quarantine guards of other hosts.
type quarantinePeers Host

var _ quarantine.Peers = (*quarantinePeers)(nil)

// homeAddress returns the address of the zone's home host, empty if that is this
// host or its address is not known.
func (p *quarantinePeers) homeAddress() (address string) {
	h := (*Host)(p)
	h.mu.Lock()
	defer h.mu.Unlock()
	first := rendezvous.First(h.view.Live(h.timer.Now(), h.settings.Zone), quarantineRole)
	known, ok := h.view.Host(first)
	if !ok || first == h.settings.Name {
		return ""
	}
	return known.Address
}

// Permit asks the zone's home host whether a suspect may run.
func (p *quarantinePeers) Permit(ctx context.Context, r quarantine.Record, server, run string) (quarantine.Verdict, error) {
	homeAddress := p.homeAddress()
	if homeAddress == "" {
		return p.guard.Permit(r, server, run), nil
	}
	reply, err := p.call(ctx, homeAddress, &wire.QuarantineRequest{
		Record: quarantineMessage(p.timer.Now(), r), Server: server, Run: run,
	})
	return quarantine.Verdict(reply.GetVerdict()), err
}

// Release tells the zone's home host that a permitted run has ended.
func (p *quarantinePeers) Release(ctx context.Context, f quarantine.Fingerprint, run string) {
	homeAddress := p.homeAddress()
	if homeAddress == "" {
		p.guard.Release(f, run)
		return
	}
	_, _ = p.call(ctx, homeAddress, &wire.QuarantineRequest{
		Record: &wire.QuarantineRecord{Fingerprint: f[:]}, Run: run, Release: true,
	})
}

// Broadcast sends a record to all live hosts in parallel and returns when each has
// received it or can't be reached.
func (p *quarantinePeers) Broadcast(ctx context.Context, r quarantine.Record) {
	h := (*Host)(p)
	message := &wire.QuarantineRequest{Record: quarantineMessage(h.timer.Now(), r)}
	var group sync.WaitGroup
	for _, name := range h.live() {
		address, ok := h.peerAddress(name)
		if !ok || name == h.settings.Name {
			continue
		}
		group.Go(func() { _, _ = p.call(ctx, address, message) })
	}
	group.Wait()
}

func (p *quarantinePeers) call(ctx context.Context, address string, in *wire.QuarantineRequest) (*wire.QuarantineReply, error) {
	client, err := p.pool.Client(address, request.Online)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return client.Quarantine(ctx, in)
}

// Quarantine handles a call of another host: the end of a permitted run, a
// request for a permit if a run is named, or else a record to learn.
func (s *peerServer) Quarantine(_ context.Context, in *wire.QuarantineRequest) (*wire.QuarantineReply, error) {
	g := s.host.guard
	r := quarantineRecord(s.host.timer.Now(), in.GetRecord())
	switch {
	case in.GetRelease():
		g.Release(r.Fingerprint, in.GetRun())
		return &wire.QuarantineReply{}, nil
	case in.GetRun() != "":
		return &wire.QuarantineReply{Verdict: int32(g.Permit(r, in.GetServer(), in.GetRun()))}, nil
	}
	g.Merge(r)
	return &wire.QuarantineReply{}, nil
}

// applyQuarantine adds the quarantine records of a heartbeat to the guard.
func (h *Host) applyQuarantine(heartbeat *wire.Heartbeat) {
	now := h.timer.Now()
	for _, record := range heartbeat.GetQuarantine() {
		h.guard.Merge(quarantineRecord(now, record))
	}
}

// addQuarantine adds the newest quarantine records to a heartbeat.
func (h *Host) addQuarantine(heartbeat *wire.Heartbeat) {
	now := h.timer.Now()
	for _, r := range h.guard.Newest() {
		heartbeat.Quarantine = append(heartbeat.Quarantine, quarantineMessage(now, r))
	}
}

func quarantineMessage(now time.Time, r quarantine.Record) *wire.QuarantineRecord {
	return &wire.QuarantineRecord{
		Fingerprint: r.Fingerprint[:], Service: r.Service, State: int32(r.State), Version: r.Version,
		Servers: r.Servers, ExpiresInMs: r.ExpiresAt.Sub(now).Milliseconds(),
	}
}

func quarantineRecord(now time.Time, m *wire.QuarantineRecord) quarantine.Record {
	r := quarantine.Record{
		Service: m.GetService(), State: quarantine.State(m.GetState()), Version: m.GetVersion(), Servers: m.GetServers(),
		ExpiresAt: now.Add(time.Duration(m.GetExpiresInMs()) * time.Millisecond),
	}
	copy(r.Fingerprint[:], m.GetFingerprint())
	return r
}

// recordCrash records a crash that a keeper of this host observed, in case the
// host that sent the request is lost before it reports the crash.
func (h *Host) recordCrash(ctx context.Context, r *request.Request, backend string, failure *result.Error) {
	if failure != nil && failure.Code() == result.BackendCrashed {
		h.guard.RecordEnd(ctx, r, backend, false, failure)
	}
}
