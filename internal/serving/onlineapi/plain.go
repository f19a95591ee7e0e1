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

// plainService passes a call on to a plain service.
func (f *API) plainService(ctx context.Context, c *call.Call) *result.Error {
	service, ok := c.Text().Service(c.HTTP().Param("name"))
	if !ok || service.Kind != services.PlainKind {
		return result.New(result.UnknownService, "no plain service %q", c.HTTP().Param("name"))
	}
	body, failure := c.ReadBody(service.MaxBodyKB << 10)
	if failure != nil {
		return failure
	}
	in, failure := f.admit(c, service)
	if failure != nil {
		return failure
	}
	defer in.leave()
	o := endpoint.PlainOptions(service, string(c.HTTP().Method()), "/"+c.HTTP().Param("path"), body)
	if query := string(c.HTTP().URI().QueryString()); query != "" {
		o.Path += "?" + query
	}
	o.ID, o.Organisation, o.Key, o.Deadline = c.ID(), c.Organisation().Name, in.key, in.deadline
	o.ContentType = string(c.HTTP().ContentType())
	r := request.New(o)
	ctx, cancel := context.WithDeadline(ctx, in.deadline)
	defer cancel()
	var w answer.Response
	if in.key != "" {
		w, failure = f.recorded(ctx, c, service, r)
	} else {
		w, failure = answer.Collect(ctx, f.p.Runner, r)
	}
	if failure != nil {
		return overdue(ctx, failure)
	}
	c.HTTP().Data(w.Status, w.ContentType, w.Body)
	return nil
}
