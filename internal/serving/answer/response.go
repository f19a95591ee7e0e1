package answer

import (
	"context"
	"net/http"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// Runner runs a request to its end.
type Runner interface {
	// Run passes every event except Finished to sink and returns nil if the
	// answer is complete.
	Run(ctx context.Context, r *request.Request, sink request.Sink) *result.Error
}

// Response is a complete answer.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Collect runs r and returns its complete answer.
func Collect(ctx context.Context, runner Runner, r *request.Request) (Response, *result.Error) {
	w := Response{Status: http.StatusOK, ContentType: "application/json"}
	var assembler Assembler
	failure := runner.Run(ctx, r, func(e request.Event) error {
		switch {
		case e.Kind == request.Started && !r.Engine():
			w.Status, w.ContentType = e.Status, e.ContentType
		case e.Kind == request.Data && r.Engine():
			if failure := assembler.Add(e.Data); failure != nil {
				return failure
			}
		case e.Kind == request.Data:
			w.Body = append(w.Body, e.Data...)
		}
		return nil
	})
	if failure == nil && r.Engine() {
		w.Body, failure = assembler.JSON()
	}
	return w, failure
}
