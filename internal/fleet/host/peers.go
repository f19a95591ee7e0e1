package host

import (
	"context"
	"encoding/json"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// peerServer answers what other hosts ask.
type peerServer struct {
	wire.UnimplementedPeerServer
	host *Host
}

var _ wire.PeerServer = (*peerServer)(nil)

// Run executes one request at a keeper of this host.
func (s *peerServer) Run(in *wire.RunRequest, stream wire.Peer_RunServer) error {
	r := in.Request(s.host.timer.Now())
	ctx, leave := s.host.remote.enter(stream.Context(), runKey{in.GetOrigin(), in.GetRun()})
	defer leave()
	failure := s.host.keepers.Run(ctx, in.GetBackend(), r, func(e request.Event) error {
		return stream.Send(wire.EventMessage(e))
	})
	s.host.crashSeen(stream.Context(), r, in.GetBackend(), failure)
	return stream.Send(wire.EventMessage(request.Event{Kind: request.Finished, Err: failure}))
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

// Job carries out an action on a job.
func (s *peerServer) Job(ctx context.Context, in *wire.JobRequest) (*wire.JobReply, error) {
	record, failure := s.host.jobs.Serve(ctx, int(in.GetShard()), in.GetAction(), in.GetId(), in.GetBody())
	if failure != nil {
		return &wire.JobReply{Failure: wire.FailureOf(failure)}, nil
	}
	body, err := json.Marshal(record)
	return &wire.JobReply{Body: body}, err
}

// Beat takes a heartbeat and answers with one.
func (s *peerServer) Beat(_ context.Context, in *wire.Heartbeat) (*wire.Heartbeat, error) {
	s.host.heard(in)
	s.host.mu.Lock()
	defer s.host.mu.Unlock()
	return s.host.view.Message(s.host.timer.Now()), nil
}

// Text returns the services text in force here, or what a host lacks of it.
func (s *peerServer) Text(_ context.Context, in *wire.TextRequest) (*wire.TextReply, error) {
	return s.host.texts.reply(in), nil
}

// Offer takes a revision that another host pushes.
func (s *peerServer) Offer(_ context.Context, in *wire.TextOffer) (*wire.TextState, error) {
	return &wire.TextState{Revision: s.host.texts.offer(in)}, nil
}

// Causes returns the events about a subject in this host's ring.
func (s *peerServer) Causes(_ context.Context, in *wire.CausesRequest) (*wire.CausesReply, error) {
	events, err := json.Marshal(s.host.ring.AboutAny(append(in.GetSubjects(), in.GetSubject()), int(in.GetLimit())))
	return &wire.CausesReply{Events: events}, err
}
