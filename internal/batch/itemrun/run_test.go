package itemrun_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/itemrun"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/events"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestSpecs(t *testing.T) { specs.Run(t, "carriage") }

// server gives one reply or error.
type server struct {
	reply exchange.Reply
	body  string
	// cut ends the body with an error.
	cut  bool
	err  error
	down bool
}

func (s *server) Send(context.Context, backend.Server, *exchange.Call, exchange.Resume, time.Duration) (*exchange.Reply, error) {
	if s.err != nil {
		return nil, s.err
	}
	body := io.Reader(strings.NewReader(s.body))
	if s.cut {
		body = io.MultiReader(body, broken{})
	}
	r := s.reply
	r.Body = io.NopCloser(body)
	return &r, nil
}

func (s *server) Down(context.Context, backend.Server) bool { return s.down }

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

var _ = DescribeTable("a run", func(s *server, resume exchange.Resume, kind itemrun.Kind, outcome scheduler.Outcome, took ...int64) {
	ids := []int64{}
	end := itemrun.Run(context.Background(), timer.NewManual(time.Unix(0, 0)), s, backend.Server{}, &exchange.Call{}, resume,
		func(found []events.Event) {
			for _, e := range found {
				ids = append(ids, e.ID)
			}
		})
	Expect(end.Kind).To(Equal(kind), end.Cause)
	Expect(end.Outcome).To(Equal(outcome))
	Expect(ids).To(Equal(append([]int64{}, took...)))
	Expect(end.Cause == "").To(Equal(kind == itemrun.Complete))
},
	Entry("whole", &server{reply: exchange.Reply{Status: 200}, body: "id: 1\n\nid: 2\n\n"}, exchange.Resume{}, itemrun.Complete, scheduler.Completed, int64(1), int64(2)),
	Entry("that goes on", &server{reply: exchange.Reply{Status: 200}, body: "id: 3\n\n"}, exchange.Resume{After: 2, Set: true}, itemrun.Complete, scheduler.Completed, int64(3)),
	Entry("that begins again instead", &server{reply: exchange.Reply{Status: 200}, body: "id: 1\n\n"}, exchange.Resume{After: 2, Set: true}, itemrun.RequeueFromStart, scheduler.Failed),
	Entry("that breaks off inside an event", &server{reply: exchange.Reply{Status: 200}, body: "id: 1\n\nid: 2\n", cut: true}, exchange.Resume{}, itemrun.Requeue, scheduler.Failed, int64(1)),
	Entry("that ends inside an event", &server{reply: exchange.Reply{Status: 200}, body: "id: 1\n\nid: 2\n"}, exchange.Resume{}, itemrun.Requeue, scheduler.Failed, int64(1)),
	Entry("that ends with its server", &server{reply: exchange.Reply{Status: 200}, body: "id: 1\n\n", cut: true, down: true}, exchange.Resume{}, itemrun.Crashed, scheduler.Failed, int64(1)),
	Entry("refused for want of room", &server{reply: exchange.Reply{Status: 503, NotRun: true}}, exchange.Resume{}, itemrun.Requeue, scheduler.Overloaded),
	Entry("answered by another server", &server{reply: exchange.Reply{Status: 421, NotRun: true, Misdirected: true}}, exchange.Resume{}, itemrun.Requeue, scheduler.Unknown),
	Entry("that can't be done", &server{reply: exchange.Reply{Status: 422}}, exchange.Resume{}, itemrun.Rejected, scheduler.Unknown),
	Entry("that failed", &server{reply: exchange.Reply{Status: 500}}, exchange.Resume{}, itemrun.Failed, scheduler.Unknown),
	Entry("with a status of no meaning", &server{reply: exchange.Reply{Status: 404}}, exchange.Resume{}, itemrun.Requeue, scheduler.Failed),
	Entry("never sent", &server{err: &exchange.SendError{Err: errors.New("refused")}}, exchange.Resume{}, itemrun.Requeue, scheduler.Unreachable),
	Entry("lost on a kept connection", &server{err: &exchange.SendError{Err: io.EOF, Sent: true, Reused: true}}, exchange.Resume{}, itemrun.Requeue, scheduler.Unknown),
)
