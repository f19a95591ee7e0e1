package forward_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/forward"
)

// pausingServers stand still with a connection to each of the first servers, before
// the first byte of the call; meanwhile is called then.
type pausingServers struct {
	scriptedServers
	meanwhile func(backend.Server)
	pauses    int
	withdrawn []string
}

func (s *pausingServers) Send(ctx context.Context, b backend.Server, c *exchange.Call, resume exchange.Resume, remaining time.Duration) (*exchange.Reply, error) {
	if s.pauses > 0 {
		s.pauses--
		s.meanwhile(b)
	}
	if !exchange.MaySend(ctx) {
		s.withdrawn = append(s.withdrawn, b.ID)
		return nil, &exchange.SendError{Err: exchange.ErrWithdrawn}
	}
	return s.scriptedServers.Send(ctx, b, c, resume, remaining)
}

var _ = Describe("a call whose host stands still between the choice of a server and the first byte", func() {
	kinds := map[string]routes.Route{
		"once":       {Kind: routes.Once, MaxAttempts: 1},
		"repeatable": {Kind: routes.Repeatable, MaxAttempts: 1},
		"stream":     {Kind: routes.Stream, MaxAttempts: 1},
	}
	changes := map[string]func(*backend.Directory, backend.Server){
		"began to drain": func(d *backend.Directory, b backend.Server) {
			b.Draining = true
			d.Put(b)
		},
		"is gone": func(d *backend.Directory, b backend.Server) { d.Remove(time.Now(), b.ID, 0) },
		"started again elsewhere": func(d *backend.Directory, b backend.Server) {
			b.Born, b.Address = b.Born+1, "x"
			d.Put(b)
		},
	}
	serve := func(route routes.Route, pauses, servers int, meanwhile func(*backend.Directory, backend.Server)) (*pausingServers, *scriptedPeers, *recordingWriter, error) {
		s, out := &pausingServers{pauses: pauses, scriptedServers: scriptedServers{replies: []scriptedReply{{body: numberedEvents(1, 2)}}}}, &recordingWriter{}
		f, _, directory := newForwarderWith(s, servers, newGuard())
		s.meanwhile = func(b backend.Server) { meanwhile(directory, b) }
		peers := &scriptedPeers{hosts: []string{"B"}}
		f.SetPeers(peers)
		route.Timeout, route.Objective, route.Shares = time.Minute, time.Minute, []routes.Share{{Service: "s", Weight: 1}}
		_, failure := f.Serve(context.Background(), &exchange.Call{ID: "1", Route: &route, Received: time.Now()}, out)
		if failure != nil {
			return s, peers, out, failure
		}
		return s, peers, out, nil
	}

	for kind, route := range kinds {
		for name, change := range changes {
			// Guards against a call that reaches a server which takes no more work.
			It("goes to another server if the first one "+name+" meanwhile: "+kind, func() {
				s, _, out, failure := serve(route, 1, 2, change)
				Expect(failure).NotTo(HaveOccurred())
				Expect(s.withdrawn).To(HaveLen(1))
				Expect(s.sent).To(HaveLen(1))
				Expect(s.sent).NotTo(Equal(s.withdrawn))
				Expect(out.body.String()).To(Equal(numberedEvents(1, 2)))
			})
		}
	}

	// Guards against a drain that is taken for a cut between this host and its servers.
	It("is not passed on to another host, though two servers in a row take no more work", func() {
		s, peers, _, failure := serve(kinds["once"], 2, 3, changes["began to drain"])
		Expect(failure).NotTo(HaveOccurred())
		Expect(s.withdrawn).To(HaveLen(2))
		Expect(peers.called).To(BeEmpty())
	})

	It("has the same server if its slots changed meanwhile", func() {
		s, _, _, failure := serve(kinds["once"], 1, 2, func(d *backend.Directory, b backend.Server) {
			b.Slots++
			d.Put(b)
		})
		Expect(failure).NotTo(HaveOccurred())
		Expect(s.withdrawn).To(BeEmpty())
	})
})

var _ forward.Servers = (*pausingServers)(nil)

// silentPeers have an attempt on its way until it is given up, which other hosts tell as
// those of this build do.
type silentPeers struct{ scriptedPeers }

func (p *silentPeers) Send(ctx context.Context, _ string, _ *exchange.Call, _ forward.Order) forward.PeerReply {
	<-ctx.Done()
	return forward.PeerReply{Failure: result.New(result.BackendFailed, "%v", ctx.Err()).WithRan(result.RanMaybe)}
}

var _ = Describe("a call whose time passes while its host stands still", func() {
	// Guards against "not run" of a call that may be run.
	DescribeTable("is not told as not run with an attempt on its way", func(kind routes.Kind, passedOn bool, reply scriptedReply) {
		f, _ := newForwarder(&scriptedServers{replies: []scriptedReply{reply}}, 2, newGuard())
		if passedOn {
			f.SetPeers(&silentPeers{scriptedPeers{cutOff: true, hosts: []string{"B"}}})
		}
		route := routes.Route{Kind: kind, MaxAttempts: 1, Timeout: 50 * time.Millisecond, Objective: time.Minute, Shares: []routes.Share{{Service: "s", Weight: 1}}}
		_, failure := f.Serve(context.Background(), &exchange.Call{ID: "1", Route: &route, Received: time.Now()}, &recordingWriter{})
		Expect(failure).NotTo(BeNil())
		Expect(failure.Ran()).NotTo(Equal(result.RanNo))
	},
		Entry("once", routes.Once, false, scriptedReply{hold: true}),
		Entry("once, passed on", routes.Once, true, scriptedReply{}),
		Entry("once, with half of its answer", routes.Once, false, scriptedReply{body: "x", hold: true}),
		Entry("repeatable", routes.Repeatable, false, scriptedReply{hold: true}),
		Entry("repeatable, passed on", routes.Repeatable, true, scriptedReply{}),
		Entry("stream", routes.Stream, false, scriptedReply{hold: true}),
		Entry("stream, passed on", routes.Stream, true, scriptedReply{}),
	)

	// Guards against a call that is sent after its caller was told that its time has passed.
	DescribeTable("reaches no server if that was before its first byte", func(kind routes.Kind) {
		s := &pausingServers{pauses: 1, meanwhile: func(backend.Server) { time.Sleep(80 * time.Millisecond) }}
		f, _ := newForwarder(s, 1, newGuard())
		route := routes.Route{Kind: kind, MaxAttempts: 1, Timeout: 50 * time.Millisecond, Objective: time.Minute, Shares: []routes.Share{{Service: "s", Weight: 1}}}
		_, failure := f.Serve(context.Background(), &exchange.Call{ID: "1", Route: &route, Received: time.Now()}, &recordingWriter{})
		Expect(failure).NotTo(BeNil())
		Expect(s.sent).To(BeEmpty())
	},
		Entry("once", routes.Once),
		Entry("stream", routes.Stream),
	)
})
