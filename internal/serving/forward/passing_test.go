package forward_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/forward"
	"github.com/kingcupquay/kingcupquay/internal/serving/suspect"
)

// scriptedPeers gives its replies in order, whichever host is called.
type scriptedPeers struct {
	mu     sync.Mutex
	cutOff bool
	// cutOffAt is when the host becomes cut off, if it isn't from the start.
	cutOffAt time.Time
	hosts    []string
	replies  []forward.PeerReply
	called   []string
	orders   []forward.Order
	ended    int
}

func (p *scriptedPeers) CutOff() bool {
	return p.cutOff || !p.cutOffAt.IsZero() && time.Now().After(p.cutOffAt)
}

func (p *scriptedPeers) Pick(tried []string) string {
	for _, h := range p.hosts {
		if !slices.Contains(tried, h) {
			return h
		}
	}
	return ""
}

func (p *scriptedPeers) Send(ctx context.Context, host string, _ *exchange.Call, o forward.Order) forward.PeerReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.called) == len(p.replies) {
		Fail("Send was called more often than there are replies")
	}
	reply := p.replies[len(p.called)]
	p.called, p.orders = append(p.called, host), append(p.orders, o)
	context.AfterFunc(ctx, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ended++
	})
	if hold, ok := reply.Reply, reply.Reply != nil && reply.Reply.Body == nil; ok {
		hold.Body = io.NopCloser(&blockingReader{ctx})
	}
	return reply
}

// answer is a complete reply of a server through another host, broken one that
// breaks off after its body, and held one that waits after its head.
func answer(server, body string) forward.PeerReply {
	return forward.PeerReply{Server: backend.Server{ID: server, SoftwareVersion: "v1"}, Reply: &exchange.Reply{
		Status: 200, EventStream: true, Body: io.NopCloser(strings.NewReader(body)), Fields: []exchange.Field{{Name: "Server", Value: server}},
	}}
}

func broken(server, body string) forward.PeerReply {
	r := answer(server, body)
	r.Reply.Body = io.NopCloser(io.MultiReader(strings.NewReader(body), failingReader{}))
	return r
}

func held(server string) forward.PeerReply {
	r := answer(server, "")
	r.Reply.Body = nil
	return r
}

func withStatus(status int, notRun bool) forward.PeerReply {
	r := answer("a", "no")
	r.Reply.Status, r.Reply.NotRun = status, notRun
	return r
}

var (
	unableReply = forward.PeerReply{Unable: true, Failure: result.New(result.NoBackend, "cut off too")}
	fullReply   = forward.PeerReply{Failure: result.New(result.Overloaded, "no slot").WithRetry(700 * time.Millisecond)}
	unreachedAt = forward.PeerReply{Server: backend.Server{ID: "a"}, Failure: result.New(result.NoBackend, "refused")}
	lostAt      = forward.PeerReply{Server: backend.Server{ID: "a"}, Failure: result.New(result.BackendFailed, "lost").WithRan(result.RanMaybe)}
	linkBroken  = forward.PeerReply{Failure: result.New(result.BackendFailed, "host gone").WithRan(result.RanMaybe)}
)

var _ = Describe("a forwarder that reaches no server", func() {
	var (
		out     *recordingWriter
		servers *scriptedServers
		peers   *scriptedPeers
		guard   *suspect.Guard
	)
	serve := func(route routes.Route, p *scriptedPeers, own ...scriptedReply) *result.Error {
		out, servers, peers, guard = &recordingWriter{}, &scriptedServers{replies: own, down: true, cutOff: true}, p, newGuard()
		if p.hosts == nil {
			p.hosts = []string{"B", "C", "D", "E"}
		}
		f, placer := newForwarder(servers, 4, guard)
		f.SetPeers(p)
		route.Shares = []routes.Share{{Service: "s", Weight: 1}}
		if route.Timeout == 0 {
			route.Timeout = time.Minute
		}
		if route.Objective == 0 {
			route.Objective = time.Minute
		}
		_, failure := f.Serve(context.Background(), &exchange.Call{ID: "1", Route: &route, SharedParts: []string{"part"}, Received: time.Now()}, out)
		Eventually(func() int { loads, _ := placer.LocalState(time.Now()); return len(loads) }, 10*time.Second).Should(BeZero(), "no slot may be left taken")
		Expect(guard.Accused()).To(BeEmpty(), "a host that reaches no server accuses nothing")
		return failure
	}

	DescribeTable("has other hosts carry out single attempts and decides itself what follows",
		func(kind routes.Kind, resumable bool, attempts int, replies []forward.PeerReply, want result.Code, ran result.Ran, body string) {
			failure := serve(routes.Route{Kind: kind, Resumable: resumable, MaxAttempts: attempts}, &scriptedPeers{cutOff: true, replies: replies})
			Expect(servers.sent).To(BeEmpty())
			Expect(peers.called).To(HaveLen(len(replies)))
			if want != result.OK {
				Expect(failure).NotTo(BeNil())
				Expect(failure.Code()).To(Equal(want), failure.Error())
				Expect(failure.Ran()).To(Equal(ran))
				return
			}
			Expect(failure).To(BeNil())
			Expect(out.body.String()).To(Equal(body))
			Expect(out.heads).To(Equal(1))
		},
		Entry("once, complete", routes.Once, false, 1, []forward.PeerReply{answer("a", "x")}, result.OK, result.RanNo, "x"),
		Entry("once, the link breaks after the call was sent: not retried", routes.Once, false, 3, []forward.PeerReply{linkBroken}, result.BackendFailed, result.RanMaybe, ""),
		Entry("once, the answer breaks off: not retried", routes.Once, false, 3, []forward.PeerReply{broken("a", "x")}, result.BackendFailed, result.RanYes, ""),
		Entry("once, the server lost it: not retried", routes.Once, false, 3, []forward.PeerReply{lostAt}, result.BackendFailed, result.RanMaybe, ""),
		Entry("once, the other host didn't reach its server: another try", routes.Once, false, 1, []forward.PeerReply{unreachedAt, answer("b", "x")}, result.OK, result.RanNo, "x"),
		Entry("once, two hosts unable: a third", routes.Once, false, 1, []forward.PeerReply{unableReply, unableReply, answer("a", "x")}, result.OK, result.RanNo, "x"),
		Entry("once, no slot", routes.Once, false, 1, []forward.PeerReply{fullReply}, result.Overloaded, result.RanNo, ""),
		Entry("once, the server has no room: within the attempts", routes.Once, false, 2, []forward.PeerReply{withStatus(503, true), answer("b", "x")}, result.OK, result.RanNo, "x"),
		Entry("once, the server's error answer", routes.Once, false, 3, []forward.PeerReply{withStatus(500, false)}, result.OK, result.RanNo, "no"),
		Entry("repeatable, the link breaks: another host", routes.Repeatable, false, 2, []forward.PeerReply{linkBroken, answer("a", "x")}, result.OK, result.RanNo, "x"),
		Entry("repeatable, the answer breaks off: no byte of it", routes.Repeatable, false, 2, []forward.PeerReply{broken("a", "half"), answer("b", "x")}, result.OK, result.RanNo, "x"),
		Entry("repeatable, no more often than its attempts allow", routes.Repeatable, false, 2, []forward.PeerReply{linkBroken, linkBroken}, result.BackendFailed, result.RanMaybe, ""),
		Entry("repeatable, no slot after it may have run: not reported as not run", routes.Repeatable, false, 2, []forward.PeerReply{linkBroken, fullReply}, result.Overloaded, result.RanMaybe, ""),
		Entry("stream, complete", routes.Stream, false, 1, []forward.PeerReply{answer("a", numberedEvents(1, 3))}, result.OK, result.RanNo, numberedEvents(1, 3)),
		Entry("stream that can't be resumed, breaks off", routes.Stream, false, 3, []forward.PeerReply{broken("a", numberedEvents(1, 2))}, result.BackendFailed, result.RanYes, ""),
		Entry("stream that can't be resumed, the link breaks before the head", routes.Stream, false, 3, []forward.PeerReply{linkBroken}, result.BackendFailed, result.RanMaybe, ""),
		Entry("stream, the link breaks before the head: another host", routes.Stream, true, 2, []forward.PeerReply{linkBroken, answer("a", numberedEvents(1, 3))}, result.OK, result.RanNo, numberedEvents(1, 3)),
		Entry("stream, goes on through another host", routes.Stream, true, 2, []forward.PeerReply{broken("a", numberedEvents(1, 2)+"id: 3\nda"), answer("b", numberedEvents(3, 5))}, result.OK, result.RanNo, numberedEvents(1, 5)),
		Entry("stream, no more often than its attempts allow", routes.Stream, true, 2, []forward.PeerReply{broken("a", numberedEvents(1, 2)), broken("b", numberedEvents(3, 3))}, result.BackendFailed, result.RanYes, ""),
	)

	It("asks for the rest of a stream at the version that began it, and not of the server that had it", func() {
		Expect(serve(routes.Route{Kind: routes.Stream, Resumable: true, MaxAttempts: 2}, &scriptedPeers{cutOff: true,
			replies: []forward.PeerReply{broken("a", numberedEvents(1, 2)), answer("b", numberedEvents(3, 5))}})).To(BeNil())
		Expect(peers.orders[0].Resume.Set).To(BeFalse())
		Expect(peers.orders[1].Resume).To(Equal(exchange.Resume{After: 2, Set: true}))
		Expect(peers.orders[1].Software).To(Equal("v1"))
		Expect(peers.orders[1].Avoid).To(Equal([]string{"a"}))
	})

	DescribeTable("goes through another host once two servers weren't reached, and asks it for any server", func(kind routes.Kind) {
		Expect(serve(routes.Route{Kind: kind, MaxAttempts: 1}, &scriptedPeers{replies: []forward.PeerReply{answer("a", numberedEvents(1, 2))}},
			scriptedReply{unsent: true}, scriptedReply{unsent: true})).To(BeNil())
		Expect(servers.sent).To(HaveLen(2))
		Expect(out.body.String()).To(Equal(numberedEvents(1, 2)))
		Expect(peers.orders[0].Avoid).To(BeEmpty())
	},
		Entry("once", routes.Once), Entry("repeatable", routes.Repeatable), Entry("stream", routes.Stream),
	)

	It("stays with its own tries if one server was reached between", func() {
		Expect(serve(routes.Route{Kind: routes.Once, MaxAttempts: 2}, &scriptedPeers{},
			scriptedReply{unsent: true}, scriptedReply{overloaded: true}, scriptedReply{unsent: true}, scriptedReply{body: "x"})).To(BeNil())
	})

	It("goes on with a stream through another host if it was cut off after the stream began", func() {
		Expect(serve(routes.Route{Kind: routes.Stream, Resumable: true, MaxAttempts: 2}, &scriptedPeers{replies: []forward.PeerReply{answer("b", numberedEvents(3, 5))}},
			scriptedReply{body: numberedEvents(1, 2), truncated: true}, scriptedReply{unsent: true}, scriptedReply{unsent: true})).To(BeNil())
		Expect(out.body.String()).To(Equal(numberedEvents(1, 5)))
	})

	DescribeTable("goes through another host once the only server wasn't reached", func(kind routes.Kind) {
		servers, p := &scriptedServers{replies: []scriptedReply{{unsent: true}}}, &scriptedPeers{hosts: []string{"B"}, replies: []forward.PeerReply{answer("a", numberedEvents(1, 2))}}
		f, _ := newForwarder(servers, 1, newGuard())
		f.SetPeers(p)
		w := &recordingWriter{}
		route := routes.Route{Kind: kind, MaxAttempts: 1, Objective: time.Minute, Shares: []routes.Share{{Service: "s", Weight: 1}}}
		_, failure := f.Serve(context.Background(), &exchange.Call{ID: "1", Route: &route, Received: time.Now()}, w)
		Expect(failure).To(BeNil())
		Expect(w.body.String()).To(Equal(numberedEvents(1, 2)))
	},
		Entry("once", routes.Once), Entry("repeatable", routes.Repeatable), Entry("stream", routes.Stream),
	)

	DescribeTable("asks no host again that reached no server while another can be asked", func(kind routes.Kind, hosts, called []string) {
		Expect(serve(routes.Route{Kind: kind, MaxAttempts: 1}, &scriptedPeers{cutOff: true, hosts: hosts,
			replies: []forward.PeerReply{unreachedAt, unreachedAt, answer("b", numberedEvents(1, 2))}})).To(BeNil())
		Expect(peers.called).To(Equal(called))
	},
		Entry("once", routes.Once, []string{"B", "C", "D"}, []string{"B", "C", "D"}),
		Entry("repeatable", routes.Repeatable, []string{"B", "C", "D"}, []string{"B", "C", "D"}),
		Entry("stream", routes.Stream, []string{"B", "C", "D"}, []string{"B", "C", "D"}),
		Entry("no other is left", routes.Once, []string{"B", "C"}, []string{"B", "C", "B"}),
	)

	DescribeTable("goes on through another host than the one through which an answer broke off", func(kind routes.Kind, objective time.Duration, first forward.PeerReply, body string) {
		Expect(serve(routes.Route{Kind: kind, Resumable: true, MaxAttempts: 2, Objective: objective},
			&scriptedPeers{cutOff: true, hosts: []string{"B", "C"}, replies: []forward.PeerReply{first, answer("b", body)}})).To(BeNil())
		Expect(peers.called).To(Equal([]string{"B", "C"}))
	},
		Entry("a stream", routes.Stream, time.Minute, broken("a", numberedEvents(1, 2)), numberedEvents(3, 5)),
		Entry("a stream that fell silent", routes.Stream, 20*time.Millisecond, held("a"), numberedEvents(1, 5)),
		Entry("an answer that may be asked for again", routes.Repeatable, time.Minute, broken("a", "half"), "x"),
	)

	DescribeTable("tries a server itself once if it may be cut off by mistake, as no other host can help", func(kind routes.Kind) {
		Expect(serve(routes.Route{Kind: kind, MaxAttempts: 1}, &scriptedPeers{cutOff: true, hosts: []string{"B"}, replies: []forward.PeerReply{unableReply}},
			scriptedReply{body: numberedEvents(1, 2)})).To(BeNil())
		Expect(out.body.String()).To(Equal(numberedEvents(1, 2)))
	},
		Entry("once", routes.Once), Entry("repeatable", routes.Repeatable), Entry("stream", routes.Stream),
	)

	It("asks three other hosts at most, tries a server itself, and refuses as not run", func() {
		failure := serve(routes.Route{Kind: routes.Once, MaxAttempts: 1}, &scriptedPeers{cutOff: true, replies: []forward.PeerReply{unableReply, unableReply, unableReply}},
			scriptedReply{unsent: true})
		Expect(failure.Code()).To(Equal(result.NoBackend))
		Expect(failure.Ran()).To(Equal(result.RanNo))
		Expect(peers.called).To(Equal([]string{"B", "C", "D"}))
	})

	DescribeTable("tries a server itself only once, and refuses as not run", func(kind routes.Kind) {
		failure := serve(routes.Route{Kind: kind, MaxAttempts: 1}, &scriptedPeers{cutOff: true, hosts: []string{"B"}, replies: []forward.PeerReply{unableReply}},
			scriptedReply{unsent: true})
		Expect(failure.Ran()).To(Equal(result.RanNo))
		Expect(servers.sent).To(HaveLen(1))
	},
		Entry("once", routes.Once), Entry("repeatable", routes.Repeatable), Entry("stream", routes.Stream),
	)

	It("hedges at another server and through another host than the attempt that runs", func() {
		Expect(serve(routes.Route{Kind: routes.Repeatable, MaxAttempts: 2, Objective: 20 * time.Millisecond}, &scriptedPeers{cutOff: true, hosts: []string{"B", "C"},
			replies: []forward.PeerReply{held("a"), answer("b", "x")}})).To(BeNil())
		Expect(peers.orders[1].Avoid).To(Equal([]string{"a"}))
		Expect(peers.called).To(Equal([]string{"B", "C"}))
	})

	It("goes on by itself if there is no other host", func() {
		Expect(serve(routes.Route{Kind: routes.Once, MaxAttempts: 1}, &scriptedPeers{cutOff: true, hosts: []string{}}, scriptedReply{body: "x"})).To(BeNil())
	})

	It("hedges through another host, and ends the slower attempt there", func() {
		Expect(serve(routes.Route{Kind: routes.Repeatable, MaxAttempts: 2, Objective: 20 * time.Millisecond}, &scriptedPeers{cutOff: true,
			replies: []forward.PeerReply{held("a"), answer("b", "x")}})).To(BeNil())
		Expect(out.body.String()).To(Equal("x"))
		Eventually(func() int { peers.mu.Lock(); defer peers.mu.Unlock(); return peers.ended }, 10*time.Second).Should(Equal(2))
	})

	It("moves a stream that waits for the head of its answer when the cut begins", func() {
		Expect(serve(routes.Route{Kind: routes.Stream, Resumable: true, MaxAttempts: 2, Objective: 20 * time.Millisecond}, &scriptedPeers{
			cutOffAt: time.Now().Add(100 * time.Millisecond), replies: []forward.PeerReply{answer("b", numberedEvents(1, 2))},
		}, scriptedReply{hold: true})).To(BeNil())
		Expect(out.body.String()).To(Equal(numberedEvents(1, 2)))
		Expect(servers.cancelled).To(Equal(1))
	})

	DescribeTable("lets a stream wait for the head of its answer", func(route routes.Route, p *scriptedPeers) {
		route.Kind, route.Objective, route.Timeout = routes.Stream, 20*time.Millisecond, 300*time.Millisecond
		if !route.Resumable || route.MaxAttempts == 1 {
			p.cutOffAt = time.Now().Add(50 * time.Millisecond)
		}
		failure := serve(route, p, scriptedReply{hold: true})
		Expect(failure.Code()).To(Equal(result.DeadlinePassed))
		Expect(failure.Ran()).To(Equal(result.RanMaybe))
		Expect(servers.sent).To(HaveLen(1))
	},
		Entry("while the host reaches servers", routes.Route{Resumable: true, MaxAttempts: 2}, &scriptedPeers{}),
		Entry("that may not be repeated", routes.Route{MaxAttempts: 2}, &scriptedPeers{}),
		Entry("that has no attempt left", routes.Route{Resumable: true, MaxAttempts: 1}, &scriptedPeers{}),
	)

	It("moves a stream that falls silent behind another host", func() {
		Expect(serve(routes.Route{Kind: routes.Stream, Resumable: true, MaxAttempts: 2, Objective: 20 * time.Millisecond}, &scriptedPeers{cutOff: true,
			replies: []forward.PeerReply{held("a"), answer("b", numberedEvents(1, 2))}})).To(BeNil())
	})

	DescribeTable("ends the attempt at the other host when its caller leaves", func(kind routes.Kind) {
		p := &scriptedPeers{cutOff: true, hosts: []string{"B"}, replies: []forward.PeerReply{held("a")}}
		f, _ := newForwarder(&scriptedServers{}, 2, newGuard())
		f.SetPeers(p)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		route := routes.Route{Kind: kind, MaxAttempts: 1, Objective: time.Minute, Shares: []routes.Share{{Service: "s", Weight: 1}}}
		_, failure := f.Serve(ctx, &exchange.Call{ID: "1", Route: &route, Received: time.Now()}, &recordingWriter{})
		Expect(failure.Ran()).NotTo(Equal(result.RanNo))
		Eventually(func() int { p.mu.Lock(); defer p.mu.Unlock(); return p.ended }, 10*time.Second).Should(Equal(1))
	},
		Entry("once", routes.Once), Entry("stream", routes.Stream),
	)
})

// recordingReply records what Carry writes.
type recordingReply struct {
	server string
	reply  *exchange.Reply
	body   bytes.Buffer
	// gone makes writes of the body fail.
	gone bool
}

func (w *recordingReply) WriteReply(s backend.Server, r *exchange.Reply) error {
	w.server, w.reply = s.ID, r
	return nil
}

func (w *recordingReply) Write(p []byte) error {
	if w.gone {
		return errors.New("gone")
	}
	w.body.Write(p)
	return nil
}

var _ = Describe("a forwarder that carries out an attempt for another host", func() {
	DescribeTable("passes the reply on as it is, tells a whole one from a broken one, and never retries",
		func(kind routes.Kind, reply scriptedReply, down, begun bool, code result.Code, ran result.Ran, body string, accused bool) {
			servers, guard := &scriptedServers{replies: []scriptedReply{reply}, down: down}, newGuard()
			f, placer := newForwarder(servers, 3, guard)
			f.SetPeers(&scriptedPeers{cutOff: true, hosts: []string{"C"}})
			route := routes.Route{Kind: kind, MaxAttempts: 3, Resumable: true, Objective: time.Minute, Shares: []routes.Share{{Service: "s", Weight: 1}}}
			w := &recordingReply{}
			c := &exchange.Call{ID: "1", Route: &route, Service: "s", SharedParts: []string{"part"}, Received: time.Now()}
			s, hasBegun, failure := f.Carry(context.Background(), "A", c, forward.Order{Avoid: []string{"a", "b"}, MaxWait: time.Second}, w)
			Expect(s.ID).To(Equal("c"))
			Expect(servers.sent).To(Equal([]string{"c"}))
			Expect(hasBegun).To(Equal(begun))
			Expect(w.body.String()).To(Equal(body))
			Expect(len(guard.Accused()) > 0).To(Equal(accused))
			loads, _ := placer.LocalState(time.Now())
			Expect(loads).To(BeEmpty())
			if code == result.OK {
				Expect(failure).To(BeNil())
				return
			}
			Expect(failure).NotTo(BeNil())
			Expect(failure.Code()).To(Equal(code))
			Expect(failure.Ran()).To(Equal(ran))
		},
		Entry("complete", routes.Once, scriptedReply{body: "x"}, false, true, result.OK, result.RanNo, "x", false),
		Entry("not connected", routes.Once, scriptedReply{unsent: true}, true, false, result.NoBackend, result.RanNo, "", false),
		Entry("lost", routes.Once, scriptedReply{lost: true}, false, false, result.BackendFailed, result.RanMaybe, "", false),
		Entry("lost at a server that went down", routes.Once, scriptedReply{lost: true}, true, false, result.BackendFailed, result.RanMaybe, "", true),
		Entry("no room", routes.Once, scriptedReply{overloaded: true}, false, true, result.OK, result.RanNo, "", false),
		Entry("breaks off", routes.Once, scriptedReply{body: "x", truncated: true}, false, true, result.BackendFailed, result.RanYes, "x", false),
		Entry("an error", routes.Once, scriptedReply{status: 500, body: "no"}, false, true, result.OK, result.RanNo, "no", false),
		Entry("stream", routes.Stream, scriptedReply{body: numberedEvents(1, 3)}, false, true, result.OK, result.RanNo, numberedEvents(1, 3), false),
		Entry("stream that ends within an event", routes.Stream, scriptedReply{body: numberedEvents(1, 2) + "id: 3\n"}, false, true, result.BackendFailed, result.RanYes, numberedEvents(1, 2)+"id: 3\n", false),
		Entry("stream that skips an event", routes.Stream, scriptedReply{body: numberedEvents(1, 1) + numberedEvents(3, 3)}, false, true, result.BackendFailed, result.RanYes, numberedEvents(1, 1)+numberedEvents(3, 3), false),
		Entry("unframed stream", routes.Stream, scriptedReply{unframed: true, body: numberedEvents(1, 3)}, false, true, result.OK, result.RanNo, numberedEvents(1, 3), false),
		Entry("unframed stream of a server that went down", routes.Stream, scriptedReply{unframed: true, body: numberedEvents(1, 3)}, true, true, result.BackendFailed, result.RanYes, numberedEvents(1, 3), true),
		Entry("unframed stream without an event", routes.Stream, scriptedReply{unframed: true}, false, true, result.BackendFailed, result.RanYes, "", false),
	)

	It("frees the slot when the other host is gone", func() {
		f, placer := newForwarder(&scriptedServers{replies: []scriptedReply{{body: numberedEvents(1, 2), hold: true}}}, 1, newGuard())
		route := routes.Route{Kind: routes.Stream, MaxAttempts: 1, Objective: time.Minute, Shares: []routes.Share{{Service: "s", Weight: 1}}}
		_, begun, failure := f.Carry(context.Background(), "A", &exchange.Call{ID: "1", Route: &route, Service: "s", Received: time.Now()}, forward.Order{MaxWait: time.Second}, &recordingReply{gone: true})
		Expect(begun).To(BeTrue())
		Expect(failure).NotTo(BeNil())
		loads, _ := placer.LocalState(time.Now())
		Expect(loads).To(BeEmpty())
	})
})
