package forward_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/forward"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

// try is what a scripted server does with one send.
type try struct {
	// unsent says that no connection comes about; lost that the connection ends
	// after the call was sent; full and foreign that the server refuses.
	unsent, lost, full, foreign bool
	status                      int
	// body is the answer, cut says that it breaks off at its end.
	body string
	cut  bool
	// hold keeps the answer from coming until the call is cancelled.
	hold bool
}

// script plays tries in order, whichever server is sent to.
type script struct {
	mu    sync.Mutex
	tries []try
	sent  []string
	// resumed are the events after which servers were asked to go on.
	resumed []int64
	left    []time.Duration
	ended   int
}

func (s *script) Send(ctx context.Context, b backend.Server, _ *exchange.Call, resume exchange.Resume, left time.Duration) (*exchange.Reply, error) {
	s.mu.Lock()
	if len(s.sent) == len(s.tries) {
		s.mu.Unlock()
		Fail("sent once more than scripted")
	}
	t := s.tries[len(s.sent)]
	s.sent = append(s.sent, b.ID)
	s.left = append(s.left, left)
	if resume.Set {
		s.resumed = append(s.resumed, resume.After)
	}
	s.mu.Unlock()
	switch {
	case t.unsent:
		return nil, &exchange.SendError{Err: errors.New("refused")}
	case t.lost:
		return nil, &exchange.SendError{Err: io.ErrUnexpectedEOF, Sent: true}
	case t.full:
		return &exchange.Reply{Status: 503, NotRun: true, Body: http.NoBody}, nil
	case t.foreign:
		return &exchange.Reply{Status: 421, NotRun: true, Misdirected: true, Body: http.NoBody}, nil
	case t.hold && t.body == "":
		<-ctx.Done()
		s.mu.Lock()
		s.ended++
		s.mu.Unlock()
		return nil, &exchange.SendError{Err: ctx.Err(), Sent: true}
	}
	body := io.Reader(strings.NewReader(t.body))
	switch {
	case t.cut:
		body = io.MultiReader(body, broken{})
	case t.hold:
		body = io.MultiReader(body, &held{ctx})
	}
	status := t.status
	if status == 0 {
		status = http.StatusOK
	}
	return &exchange.Reply{Status: status, Body: io.NopCloser(body), Fields: []exchange.Field{{Name: "Server", Value: b.ID}}}, nil
}

func (s *script) Down(context.Context, backend.Server) bool { return false }

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

type held struct{ ctx context.Context }

func (h *held) Read([]byte) (int, error) {
	<-h.ctx.Done()
	return 0, h.ctx.Err()
}

// caller keeps what it was given.
type caller struct {
	status int
	server string
	body   bytes.Buffer
	begun  int
}

func (c *caller) WriteComplete(status int, fields []exchange.Field, body []byte) {
	c.WriteHeader(status, fields)
	c.body.Write(body)
}

func (c *caller) WriteHeader(status int, fields []exchange.Field) {
	c.begun++
	c.status = status
	for _, f := range fields {
		c.server = f.Value
	}
}

func (c *caller) Write(p []byte) error {
	c.body.Write(p)
	return nil
}

func numbered(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n, n)
	}
	return b.String()
}

var _ = Describe("a forwarder", func() {
	var (
		s    *script
		out  *caller
		list *backend.Directory
	)
	serve := func(route routes.Route, tries ...try) (bool, *result.Error) {
		s, out = &script{tries: tries}, &caller{}
		list = backend.NewDirectory(func(backend.Server, string) {})
		for _, id := range []string{"a", "b", "c", "d"} {
			list.Put(backend.Server{ID: id, Service: "s", Address: id, Zone: "z", Slots: 4})
		}
		route.Shares = []routes.Share{{Service: "s", Weight: 1}}
		if route.Timeout == 0 {
			route.Timeout = time.Minute
		}
		if route.Objective == 0 {
			route.Objective = time.Minute
		}
		clock := timer.Real{}
		placer := scheduler.New("A", "z", func() float64 { return 0.5 }, func() {})
		f := forward.New(clock, logr.Discard(), s, list, placer)
		begun, failure := f.Serve(context.Background(), &exchange.Call{ID: "1", Route: &route, Received: clock.Now()}, out)
		Eventually(func() int { loads, _ := placer.LocalState(clock.Now()); return len(loads) }, 10*time.Second).Should(BeZero(), "every slot is given back")
		return begun, failure
	}

	DescribeTable("repeats only what may be repeated, and says truly what ran",
		func(kind routes.Kind, resumable bool, attempts int, tries []try, sends int, want result.Code, ran result.Ran, body string) {
			_, failure := serve(routes.Route{Kind: kind, Resumable: resumable, Attempts: attempts}, tries...)
			Expect(s.sent).To(HaveLen(sends))
			if want != result.OK {
				Expect(failure).NotTo(BeNil())
				Expect(failure.Code()).To(Equal(want), failure.Error())
				Expect(failure.Ran()).To(Equal(ran))
				return
			}
			Expect(failure).To(BeNil())
			Expect(out.body.String()).To(Equal(body))
			Expect(out.begun).To(Equal(1))
		},
		Entry("once, whole", routes.Once, false, 3, []try{{body: "x"}}, 1, result.OK, result.RanNo, "x"),
		Entry("once, lost: not again", routes.Once, false, 3, []try{{lost: true}}, 1, result.BackendFailed, result.RanMaybe, ""),
		Entry("once, cut: not again", routes.Once, false, 3, []try{{body: "x", cut: true}}, 1, result.BackendFailed, result.RanYes, ""),
		Entry("once, not sent: again", routes.Once, false, 1, []try{{unsent: true}, {body: "x"}}, 2, result.OK, result.RanNo, "x"),
		Entry("once, full: again within the attempts", routes.Once, false, 2, []try{{full: true}, {body: "x"}}, 2, result.OK, result.RanNo, "x"),
		Entry("once, full and no attempt left: not run", routes.Once, false, 1, []try{{full: true}}, 1, result.Overloaded, result.RanNo, ""),
		Entry("once, the server's failure is given", routes.Once, false, 3, []try{{status: 500, body: "no"}}, 1, result.OK, result.RanNo, "no"),
		Entry("repeatable, lost: again", routes.Repeatable, false, 2, []try{{lost: true}, {body: "x"}}, 2, result.OK, result.RanNo, "x"),
		Entry("repeatable, cut: again, and no byte of the first", routes.Repeatable, false, 2, []try{{body: "half", cut: true}, {body: "x"}}, 2, result.OK, result.RanNo, "x"),
		Entry("repeatable, no more than its attempts", routes.Repeatable, false, 2, []try{{lost: true}, {lost: true}}, 2, result.BackendFailed, result.RanMaybe, ""),
		Entry("repeatable, the server's failure if nothing better comes", routes.Repeatable, false, 2, []try{{status: 500, body: "no"}, {lost: true}}, 2, result.OK, result.RanNo, "no"),
		Entry("repeatable, nothing can be connected to: not run", routes.Repeatable, false, 9, []try{{unsent: true}, {unsent: true}, {unsent: true}, {unsent: true}}, 4, result.NoBackend, result.RanNo, ""),
		Entry("stream, whole", routes.Stream, false, 1, []try{{body: numbered(1, 3)}}, 1, result.OK, result.RanNo, numbered(1, 3)),
		Entry("stream that can't be resumed, cut", routes.Stream, false, 2, []try{{body: numbered(1, 2), cut: true}}, 1, result.BackendFailed, result.RanYes, ""),
		Entry("stream that can't be resumed, not sent", routes.Stream, false, 1, []try{{unsent: true}, {body: numbered(1, 3)}}, 2, result.OK, result.RanNo, numbered(1, 3)),
		Entry("stream, goes on elsewhere inside one answer", routes.Stream, true, 2, []try{{body: numbered(1, 2) + "id: 3\nda", cut: true}, {body: numbered(3, 5)}}, 2, result.OK, result.RanNo, numbered(1, 5)),
		Entry("stream, an end inside an event is none", routes.Stream, true, 2, []try{{body: numbered(1, 2) + "id: 3"}, {body: numbered(3, 5)}}, 2, result.OK, result.RanNo, numbered(1, 5)),
		Entry("stream, a server that begins again is left", routes.Stream, true, 3, []try{{body: numbered(1, 2), cut: true}, {body: numbered(1, 5)}, {body: numbered(3, 5)}}, 3, result.OK, result.RanNo, numbered(1, 5)),
		Entry("stream, nothing left to tell: the head is given all the same", routes.Stream, true, 2, []try{{body: ""}}, 1, result.OK, result.RanNo, ""),
		Entry("stream, lost before its first event", routes.Stream, true, 2, []try{{lost: true}, {body: numbered(1, 2)}}, 2, result.OK, result.RanNo, numbered(1, 2)),
		Entry("stream, a server's failure is given", routes.Stream, true, 1, []try{{status: 500, body: "no"}}, 1, result.OK, result.RanNo, "no"),
	)

	It("asks the next server to go on after the last whole event", func() {
		_, failure := serve(routes.Route{Kind: routes.Stream, Resumable: true, Attempts: 2}, try{body: numbered(1, 2) + "id: 3\n", cut: true}, try{body: numbered(3, 3)})
		Expect(failure).To(BeNil())
		Expect(s.resumed).To(Equal([]int64{2}))
		Expect(out.server).To(Equal(s.sent[0]), "the head stays the first server's")
	})

	It("leaves out a server at whose address another answers", func() {
		_, failure := serve(routes.Route{Kind: routes.Once, Attempts: 2}, try{foreign: true}, try{body: "x"})
		Expect(failure).To(BeNil())
		Expect(list.Usable("s")).To(HaveLen(3))
	})

	DescribeTable("answers when the route's time is over, and ends what runs", func(kind routes.Kind, begun bool, t try) {
		started, failure := serve(routes.Route{Kind: kind, Attempts: 1, Timeout: 30 * time.Millisecond}, t)
		Expect(started).To(Equal(begun))
		Expect(failure).NotTo(BeNil())
		if !begun {
			Expect(failure.Code()).To(Equal(result.DeadlinePassed))
			Expect(failure.Ran()).NotTo(Equal(result.RanNo))
		}
		Expect(s.left[0]).To(BeNumerically("<=", 30*time.Millisecond), "no server gets more time than is left")
	},
		Entry("whole", routes.Once, false, try{hold: true}),
		Entry("a stream before its first event", routes.Stream, false, try{hold: true}),
		Entry("a stream under way", routes.Stream, true, try{body: numbered(1, 1), hold: true}),
	)

	It("moves a stream that falls silent, but ends none for silence", func() {
		route := routes.Route{Kind: routes.Stream, Resumable: true, Attempts: 2, PauseObjective: 20 * time.Millisecond}
		_, failure := serve(route, try{body: numbered(1, 2), hold: true}, try{body: numbered(3, 4)})
		Expect(failure).To(BeNil())
		Expect(out.body.String()).To(Equal(numbered(1, 4)))
	})

	It("sends a slow repeatable call beside the first and gives whichever answer is whole", func() {
		route := routes.Route{Kind: routes.Repeatable, Attempts: 2, Objective: 20 * time.Millisecond}
		_, failure := serve(route, try{hold: true}, try{body: "x"})
		Expect(failure).To(BeNil())
		Expect(out.body.String()).To(Equal("x"))
		Eventually(func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.ended }, 10*time.Second).Should(Equal(1), "the first try is ended")
	})

	It("refuses at once, not run, when no server is known", func() {
		route := routes.Route{Kind: routes.Once, Attempts: 1, Shares: []routes.Share{{Service: "none", Weight: 1}}}
		list := backend.NewDirectory(func(backend.Server, string) {})
		f := forward.New(timer.Real{}, logr.Discard(), &script{}, list, scheduler.New("A", "z", func() float64 { return 0 }, func() {}))
		_, failure := f.Serve(context.Background(), &exchange.Call{ID: "1", Route: &route, Received: time.Now()}, &caller{})
		Expect(failure.Code()).To(Equal(result.NoBackend))
		Expect(failure.Ran()).To(Equal(result.RanNo))
		Expect(failure.RetryAfter()).To(BeNumerically(">", 0))
	})
})
