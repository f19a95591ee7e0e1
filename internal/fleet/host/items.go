package host

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/kingcupquay/kingcupquay/internal/batch/item"
	"github.com/kingcupquay/kingcupquay/internal/batch/job"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/answer"
	"github.com/kingcupquay/kingcupquay/internal/serving/endpoint"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// itemsPerSlot is how many items a host has in progress per slot of the backend
// servers. More than one keeps a slot busy between two items.
const itemsPerSlot = 2

// itemCaller runs the items of jobs as batch requests through this host's
// dispatcher.
type itemCaller struct {
	host *Host
}

var _ job.ItemRunner = (*itemCaller)(nil)

// Run runs one item. An item that has to wait for a backend server gets an
// answer with Parked set.
func (c *itemCaller) Run(ctx context.Context, id string, j *job.Record, i *item.Item) job.RunResult {
	text := c.host.text.Load()
	if text == nil {
		return refusal(result.New(result.StoreUnavailable, "no services text yet"))
	}
	if i.URL() != j.Endpoint {
		return refusal(result.New(result.InvalidItem, "url %s is not the job's endpoint", i.URL()))
	}
	service, o, failure := itemOptions(text, i)
	if failure != nil {
		return refusal(failure)
	}
	if organisation, ok := text.Organisation(j.Organisation); !ok || !organisation.Allows(service.Name) {
		return refusal(result.New(result.ServiceForbidden, "organisation %s may not call %s", j.Organisation, service.Name))
	}
	parked := job.ParkedItem{ID: id, Weight: service.Weight, Due: j.Due}
	if parked.Gate = c.host.parkedItems.gateBefore(text, service, id); parked.Gate != "" {
		parkFailure := result.New(result.NoBackend, "waits at gate %s", parked.Gate)
		return job.RunResult{Failure: parkFailure, Weight: service.Weight, Parked: &parked}
	}
	parked.Started = c.host.timer.Now()
	o.ID, o.Organisation, o.Urgency, o.Due = id, j.Organisation, request.Batch, j.Due
	response, failure := answer.Collect(ctx, c.host.dispatcher, request.New(o))
	jobAnswer := job.RunResult{
		Response: item.Response{StatusCode: response.Status, RequestID: id, Body: jsonBody(response.Body)}, Failure: failure, Weight: service.Weight,
	}
	if parked.Gate = c.host.parkedItems.gateAfter(service, failure); parked.Gate != "" {
		jobAnswer.Parked = &parked
	}
	return jobAnswer
}

func refusal(failure *result.Error) job.RunResult { return job.RunResult{Failure: failure} }

// itemOptions returns the service of an item and the options of its request. An
// item may run again after the loss of its host, so a plain service must be
// idempotent.
func itemOptions(text *services.Text, i *item.Item) (*services.Service, request.Options, *result.Error) {
	if !strings.HasPrefix(i.URL(), "/services/") {
		service, failure := endpoint.ResolveEngine(text, i.URL(), i.Body())
		if failure != nil {
			return nil, request.Options{}, failure
		}
		return service, endpoint.EngineOptions(service, i.URL(), i.Body()), nil
	}
	service, path, ok := endpoint.ResolvePlain(text, i.URL())
	if !ok {
		return nil, request.Options{}, result.New(result.UnknownService, "no plain service at %s", i.URL())
	}
	if !service.Idempotent {
		return nil, request.Options{}, result.New(result.InvalidItem, "service %s is not idempotent", service.Name)
	}
	return service, endpoint.PlainOptions(service, http.MethodPost, path, i.Body()), nil
}

// jsonBody returns a body as JSON. A body that is not valid JSON is encoded as a
// string.
func jsonBody(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	text, err := json.Marshal(string(body))
	if err != nil {
		return nil
	}
	return text
}

// MaxItems returns how many items this host may have in progress.
func (c *itemCaller) MaxItems() int {
	text := c.host.text.Load()
	if text == nil {
		return itemsPerSlot
	}
	slots := 0
	for _, b := range text.Backends() {
		slots += b.Slots
	}
	return slots * itemsPerSlot
}
