package caller

import (
	"context"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// plainService passes a call on to a plain service.
func (f *Front) plainService(ctx context.Context, c *call) *result.Error {
	service, ok := c.text.Service(c.http.Param("name"))
	if !ok || service.Kind != services.PlainKind {
		return result.New(result.UnknownService, "no plain service %q", c.http.Param("name"))
	}
	if failure := c.allow(service); failure != nil {
		return failure
	}
	body, failure := c.readBody(service.MaxBodyKB << 10)
	if failure != nil {
		return failure
	}
	key, failure := c.key()
	if failure != nil {
		return failure
	}
	deadline, failure := c.deadline(service)
	if failure != nil {
		return failure
	}
	if service.Durable && key == "" {
		key = c.id
	}
	leave, failure := f.enter(c, service)
	if failure != nil {
		return failure
	}
	defer leave()
	o := PlainOptions(service, string(c.http.Method()), "/"+c.http.Param("path"), body)
	if query := string(c.http.URI().QueryString()); query != "" {
		o.Path += "?" + query
	}
	o.ID, o.Organisation, o.Key, o.Deadline = c.id, c.organisation.Name, key, deadline
	o.ContentType = string(c.http.ContentType())
	r := request.New(o)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var w whole
	if key != "" {
		w, failure = f.recorded(ctx, c, service, r)
	} else {
		w, failure = runWhole(ctx, f.p.Runner, r)
	}
	if failure != nil {
		return overdue(ctx, failure)
	}
	c.http.Data(w.status, w.contentType, w.body)
	return nil
}

// PlainOptions returns the fields of a request for a plain service.
func PlainOptions(s *services.Service, method, path string, body []byte) request.Options {
	urgency := request.Online
	if s.Urgency == "batch" {
		urgency = request.Batch
	}
	return request.Options{
		Service: s.Name, Method: method, Path: path, ContentType: jsonType, Body: body,
		Urgency: urgency, Weight: s.Weight, Idempotent: s.Idempotent,
	}
}
