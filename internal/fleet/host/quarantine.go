package host

import (
	"context"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/quarantine"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// suspectsHome is the name by which a zone's home host of suspects is found.
const suspectsHome = "quarantine"

// quarantinePeers reaches the other hosts' guards.
type quarantinePeers Host

var _ quarantine.Peers = (*quarantinePeers)(nil)

// home returns the zone's home host of suspects, empty for this host itself.
func (p *quarantinePeers) home() (address string) {
	h := (*Host)(p)
	h.mu.Lock()
	defer h.mu.Unlock()
	first := zone.First(h.view.Live(h.timer.Now(), h.settings.Zone), suspectsHome)
	known, ok := h.view.Host(first)
	if !ok || first == h.settings.Name {
		return ""
	}
	return known.Address
}

// Permit asks the zone's home host.
func (p *quarantinePeers) Permit(ctx context.Context, r quarantine.Record, server, run string) (quarantine.Verdict, error) {
	home := p.home()
	if home == "" {
		return p.guard.Permit(r, server, run), nil
	}
	reply, err := p.tell(ctx, home, &wire.QuarantineRequest{
		Record: quarantineMessage(p.timer.Now(), r), Server: server, Run: run,
	})
	return quarantine.Verdict(reply.GetVerdict()), err
}

// Release gives a permit back.
func (p *quarantinePeers) Release(ctx context.Context, f quarantine.Fingerprint, run string) {
	home := p.home()
	if home == "" {
		p.guard.Release(f, run)
		return
	}
	_, _ = p.tell(ctx, home, &wire.QuarantineRequest{
		Record: &wire.QuarantineRecord{Fingerprint: f[:]}, Run: run, Release: true,
	})
}

// Spread tells all live hosts at once.
func (p *quarantinePeers) Spread(ctx context.Context, r quarantine.Record) {
	h := (*Host)(p)
	message := &wire.QuarantineRequest{Record: quarantineMessage(h.timer.Now(), r)}
	var group sync.WaitGroup
	for _, name := range h.live() {
		address, ok := h.peerAddress(name)
		if !ok || name == h.settings.Name {
			continue
		}
		group.Go(func() { _, _ = p.tell(ctx, address, message) })
	}
	group.Wait()
}

func (p *quarantinePeers) tell(ctx context.Context, address string, in *wire.QuarantineRequest) (*wire.QuarantineReply, error) {
	client, err := p.pool.Peer(address, request.Online)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return client.Quarantine(ctx, in)
}

// Quarantine takes a record, and decides on permits if this is the home host.
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
	g.Learn(r)
	return &wire.QuarantineReply{}, nil
}

// learnQuarantine takes the records in a heartbeat.
func (h *Host) learnQuarantine(beat *wire.Heartbeat) {
	now := h.timer.Now()
	for _, one := range beat.GetQuarantine() {
		h.guard.Learn(quarantineRecord(now, one))
	}
}

// addQuarantine puts the newest records into a heartbeat.
func (h *Host) addQuarantine(beat *wire.Heartbeat) {
	now := h.timer.Now()
	for _, r := range h.guard.Newest() {
		beat.Quarantine = append(beat.Quarantine, quarantineMessage(now, r))
	}
}

func quarantineMessage(now time.Time, r quarantine.Record) *wire.QuarantineRecord {
	return &wire.QuarantineRecord{
		Fingerprint: r.Fingerprint[:], Service: r.Service, State: int32(r.State), Version: r.Version,
		Servers: r.Servers, ExpiresInMs: r.Until.Sub(now).Milliseconds(),
	}
}

func quarantineRecord(now time.Time, m *wire.QuarantineRecord) quarantine.Record {
	r := quarantine.Record{
		Service: m.GetService(), State: quarantine.State(m.GetState()), Version: m.GetVersion(), Servers: m.GetServers(),
		Until: now.Add(time.Duration(m.GetExpiresInMs()) * time.Millisecond),
	}
	copy(r.Fingerprint[:], m.GetFingerprint())
	return r
}

// crashSeen notes a crash at a keeper of this host, in case the host that sent
// the request is lost before it can tell.
func (h *Host) crashSeen(ctx context.Context, r *request.Request, backend string, failure *result.Error) {
	if failure != nil && failure.Code() == result.BackendCrashed {
		h.guard.Ended(ctx, r, backend, false, failure)
	}
}
