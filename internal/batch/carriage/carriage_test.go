package carriage_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/carriage"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/events"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/placing"
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

var _ = DescribeTable("a run", func(s *server, resume exchange.Resume, kind carriage.Kind, outcome placing.Outcome, took ...int64) {
	ids := []int64{}
	end := carriage.Carry(context.Background(), timer.NewManual(time.Unix(0, 0)), s, backend.Server{}, &exchange.Call{}, resume,
		func(found []events.Event) {
			for _, e := range found {
				ids = append(ids, e.ID)
			}
		})
	Expect(end.Kind).To(Equal(kind), end.Cause)
	Expect(end.Outcome).To(Equal(outcome))
	Expect(ids).To(Equal(append([]int64{}, took...)))
	Expect(end.Cause == "").To(Equal(kind == carriage.Whole))
},
	Entry("whole", &server{reply: exchange.Reply{Status: 200}, body: "id: 1\n\nid: 2\n\n"}, exchange.Resume{}, carriage.Whole, placing.Whole, int64(1), int64(2)),
	Entry("that goes on", &server{reply: exchange.Reply{Status: 200}, body: "id: 3\n\n"}, exchange.Resume{After: 2, Set: true}, carriage.Whole, placing.Whole, int64(3)),
	Entry("that begins again instead", &server{reply: exchange.Reply{Status: 200}, body: "id: 1\n\n"}, exchange.Resume{After: 2, Set: true}, carriage.Afresh, placing.Failed),
	Entry("that breaks off inside an event", &server{reply: exchange.Reply{Status: 200}, body: "id: 1\n\nid: 2\n", cut: true}, exchange.Resume{}, carriage.Again, placing.Failed, int64(1)),
	Entry("that ends inside an event", &server{reply: exchange.Reply{Status: 200}, body: "id: 1\n\nid: 2\n"}, exchange.Resume{}, carriage.Again, placing.Failed, int64(1)),
	Entry("that ends with its server", &server{reply: exchange.Reply{Status: 200}, body: "id: 1\n\n", cut: true, down: true}, exchange.Resume{}, carriage.Crashed, placing.Failed, int64(1)),
	Entry("refused for want of room", &server{reply: exchange.Reply{Status: 503, NotRun: true}}, exchange.Resume{}, carriage.Again, placing.Full),
	Entry("answered by another server", &server{reply: exchange.Reply{Status: 421, NotRun: true, Misdirected: true}}, exchange.Resume{}, carriage.Again, placing.Unknown),
	Entry("that can't be done", &server{reply: exchange.Reply{Status: 422}}, exchange.Resume{}, carriage.Impossible, placing.Unknown),
	Entry("that failed", &server{reply: exchange.Reply{Status: 500}}, exchange.Resume{}, carriage.Failed, placing.Unknown),
	Entry("with a status of no meaning", &server{reply: exchange.Reply{Status: 404}}, exchange.Resume{}, carriage.Again, placing.Failed),
	Entry("never sent", &server{err: &exchange.SendError{Err: errors.New("refused")}}, exchange.Resume{}, carriage.Again, placing.Unreached),
	Entry("lost on a kept connection", &server{err: &exchange.SendError{Err: io.EOF, Sent: true, Reused: true}}, exchange.Resume{}, carriage.Again, placing.Unknown),
)
