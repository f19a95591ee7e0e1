package host

import (
	"context"
	"encoding/json"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// peerServer serves the calls of other hosts.
type peerServer struct {
	wire.UnimplementedPeerServer
	host *Host
}

var _ wire.PeerServer = (*peerServer)(nil)

// Run runs one request at a keeper on this host and streams its events.
func (s *peerServer) Run(in *wire.RunRequest, stream wire.Peer_RunServer) error {
	r := in.Request(s.host.timer.Now())
	ctx, unregister := s.host.remote.register(stream.Context(), runKey{in.GetOrigin(), in.GetRun()})
	defer unregister()
	failure := s.host.keepers.Run(ctx, in.GetBackend(), r, func(e request.Event) error {
		return stream.Send(wire.NewRunEvent(e))
	})
	s.host.recordCrash(stream.Context(), r, in.GetBackend(), failure)
	return stream.Send(wire.NewRunEvent(request.Event{Kind: request.Finished, Err: failure}))
}

// Claim records a request before it runs.
func (s *peerServer) Claim(ctx context.Context, in *wire.ClaimRequest) (*wire.ClaimReply, error) {
	return s.host.recorder.Claim(ctx, in), nil
}

// Finish records how an attempt ended.
func (s *peerServer) Finish(ctx context.Context, in *wire.FinishRequest) (*wire.FinishReply, error) {
	return s.host.recorder.Finish(ctx, in), nil
}

// Lookup reads the record of a key.
func (s *peerServer) Lookup(ctx context.Context, in *wire.LookupRequest) (*wire.LookupReply, error) {
	return s.host.recorder.Lookup(ctx, in), nil
}

// Job performs an action on a job and returns its record.
func (s *peerServer) Job(ctx context.Context, in *wire.JobRequest) (*wire.JobReply, error) {
	record, failure := s.host.jobs.Serve(ctx, int(in.GetShard()), in.GetAction(), in.GetId(), in.GetBody())
	if failure != nil {
		return &wire.JobReply{Failure: wire.NewFailure(failure)}, nil
	}
	body, err := json.Marshal(record)
	return &wire.JobReply{Body: body}, err
}

// Beat applies a heartbeat and returns this host's own.
func (s *peerServer) Beat(_ context.Context, in *wire.Heartbeat) (*wire.Heartbeat, error) {
	s.host.handleHeartbeat(in)
	s.host.mu.Lock()
	defer s.host.mu.Unlock()
	return s.host.view.Heartbeat(s.host.timer.Now()), nil
}

// Text returns the services text in force here, or the part that the calling
// host lacks.
func (s *peerServer) Text(_ context.Context, in *wire.TextRequest) (*wire.TextReply, error) {
	return s.host.textSync.reply(in), nil
}

// Offer accepts a revision that another host pushes and returns the revision in
// force here afterwards.
func (s *peerServer) Offer(_ context.Context, in *wire.TextOffer) (*wire.TextState, error) {
	return &wire.TextState{Revision: s.host.textSync.handleOffer(in)}, nil
}

// Causes returns the events about the subjects in this host's event ring.
func (s *peerServer) Causes(_ context.Context, in *wire.CausesRequest) (*wire.CausesReply, error) {
	events, err := json.Marshal(s.host.eventRing.AboutAny(append(in.GetSubjects(), in.GetSubject()), int(in.GetLimit())))
	return &wire.CausesReply{Events: events}, err
}
