package onlineapi

import (
	"context"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/answer"
	"github.com/kingcupquay/kingcupquay/internal/serving/call"
	"github.com/kingcupquay/kingcupquay/internal/serving/endpoint"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// plainService forwards a call to a plain service.
func (f *API) plainService(ctx context.Context, c *call.Call) *result.Error {
	service, ok := c.Text().Service(c.HTTP().Param("name"))
	if !ok || service.Kind != services.PlainKind {
		return result.New(result.UnknownService, "no plain service %q", c.HTTP().Param("name"))
	}
	body, failure := c.ReadBody(service.MaxBodyKB << 10)
	if failure != nil {
		return failure
	}
	admitted, failure := f.admit(c, service)
	if failure != nil {
		return failure
	}
	defer admitted.release()
	o := endpoint.PlainOptions(service, string(c.HTTP().Method()), "/"+c.HTTP().Param("path"), body)
	if query := string(c.HTTP().URI().QueryString()); query != "" {
		o.Path += "?" + query
	}
	o.ID, o.Organisation, o.Key, o.Deadline = c.ID(), c.Organisation().Name, admitted.key, admitted.deadline
	o.ContentType = string(c.HTTP().ContentType())
	r := request.New(o)
	ctx, cancel := context.WithDeadline(ctx, admitted.deadline)
	defer cancel()
	var w answer.Response
	if admitted.key != "" {
		w, failure = f.runRecorded(ctx, c, service, r)
	} else {
		w, failure = answer.Collect(ctx, f.parts.Runner, r)
	}
	if failure != nil {
		return asDeadlineError(ctx, failure)
	}
	c.HTTP().Data(w.Status, w.ContentType, w.Body)
	return nil
}
