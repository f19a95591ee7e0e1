// Package admin is the operators' HTTP API of an entry host. It shows and
// changes the services text, its audit trail and the quarantine, and reports the
// status of the hosts and the causes of events.
//
// Requests need a token of an organisation that the services text marks as
// operator. Before the first text there are no tokens, and every request is
// accepted.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/google/uuid"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/cause"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/revision"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// HostStatus is the status of one host in the answer to a status call.
type HostStatus struct {
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Revision int64  `json:"revision"`
	Alive    bool   `json:"alive"`
	Leaving  bool   `json:"leaving"`
	Shards   int    `json:"shards"`
}

// Explanation is the answer to a why call: the most likely cause of what
// happened to a subject, and the related events.
type Explanation struct {
	cause.Diagnosis
	// Missing describes each host that did not answer, with the time up to which
	// its events are known, and the store if it could not be read.
	Missing []string `json:"missing"`
}

// Options holds the dependencies of an API.
//
// Text returns the services text in force, nil before the first. Adopt puts a
// text into force on this host. Status, Explain and Page return the data of
// the status call, the why call and the status page. Note records an event.
type Options struct {
	Timer   timer.Service
	Store   store.Store
	Text    func() *services.Text
	Adopt   func(*services.Text)
	Status  func() []HostStatus
	Explain func(ctx context.Context, subject string) Explanation
	Page    func() Page
	Note    func(kind, cause string, subjects ...string)
	// Quarantine holds the records of suspect and quarantined request bodies.
	Quarantine Quarantine
}

// API serves the operators' API.
type API struct {
	options Options
}

// New returns an API. Register adds its routes to a server.
func New(options Options) *API { return &API{options: options} }

// Register adds the routes of the operators' API and the status page to h.
func (a *API) Register(h *server.Hertz) {
	h.GET("/operator/text", a.handle(a.showText))
	h.PUT("/operator/text", a.handle(a.applyText))
	h.GET("/operator/history", a.handle(a.history))
	h.GET("/operator/quarantine", a.handle(a.listQuarantine))
	h.DELETE("/operator/quarantine/:fingerprint", a.handle(a.liftQuarantine))
	h.GET("/operator/status", a.handle(a.status))
	h.GET("/operator/why/*subject", a.handle(a.why))
	h.GET("/status", a.page)
}

// handler handles a request of the operator with that name. It returns the value
// to encode as the body of the answer.
type handler func(ctx context.Context, c *app.RequestContext, operator string) (any, *result.Error)

// handle returns an HTTP handler that authenticates the operator, calls h and
// encodes its value or its error as JSON.
func (a *API) handle(h handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		operator, failure := a.authenticate(c)
		var response any
		if failure == nil {
			response, failure = h(ctx, c, operator)
		}
		if failure != nil {
			c.JSON(failure.Code().Status(), map[string]any{"error": map[string]any{
				"code": int(failure.Code()), "message": failure.Error(), "ran": string(failure.Ran()),
			}})
			return
		}
		body, err := json.Marshal(response)
		if err != nil {
			c.String(http.StatusInternalServerError, err.Error())
			return
		}
		c.Data(http.StatusOK, "application/json", body)
	}
}

// authenticate returns the name of the organisation whose token the request has,
// or an error if that is not an operator. Before the first services text, it
// accepts every request.
func (a *API) authenticate(c *app.RequestContext) (string, *result.Error) {
	text := a.options.Text()
	if text == nil {
		return "first operator", nil
	}
	token, _ := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	organisation, ok := text.AuthenticateToken(token)
	if !ok || !organisation.Operator {
		return "", result.New(result.Unauthorized, "not an operator's token")
	}
	return organisation.Name, nil
}

// TextBody is the answer to a read of the services text. By and At are empty if
// the store could not be read and the text is the one in force on this host.
type TextBody struct {
	Revision int64     `json:"revision"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	Source   string    `json:"source"`
}

// ChangeBody describes a change of the services text, applied or in a dry run.
type ChangeBody struct {
	Revision int64  `json:"revision"`
	By       string `json:"by"`
	DryRun   bool   `json:"dry_run"`
	// Difference lists the removed and the added lines.
	Difference string `json:"difference"`
	// Effect describes the effects of the change in sentences, the most severe
	// first.
	Effect   []string          `json:"effect"`
	Warnings services.Problems `json:"warnings"`
}

func (a *API) showText(ctx context.Context, _ *app.RequestContext, _ string) (any, *result.Error) {
	d, _, failure := revision.Load(ctx, a.options.Store)
	if failure != nil {
		text := a.options.Text()
		if text == nil {
			return nil, failure
		}
		return TextBody{Revision: text.Revision(), Source: string(text.Source())}, nil
	}
	return TextBody{Revision: d.Revision, By: d.By, At: d.At, Source: d.Source}, nil
}

func (a *API) applyText(ctx context.Context, c *app.RequestContext, operator string) (any, *result.Error) {
	from, err := strconv.ParseInt(c.Query("revision"), 10, 64)
	if err != nil {
		return nil, result.New(result.InvalidField, "revision must be the number that the change was made on")
	}
	if name := c.Query("by"); name != "" {
		operator = name + " (" + operator + ")"
	}
	// Hertz reuses the memory of the body after the response, and the text retains
	// its source.
	source := bytes.Clone(c.Request.Body())
	change, failure := a.preview(ctx, from, source)
	a.noteConflict(operator, from, failure)
	change.By = operator
	if dryRun, _ := strconv.ParseBool(c.Query("dry_run")); dryRun || failure != nil {
		change.DryRun = true
		return change, failure
	}
	text, failure := revision.Apply(ctx, a.options.Store, a.options.Timer.Now(), operator, uuid.NewString(), from, source)
	if failure != nil {
		a.noteConflict(operator, from, failure)
		return nil, failure
	}
	a.options.Adopt(text)
	a.options.Note("services text changed", "operator "+operator+" applied revision "+strconv.FormatInt(text.Revision(), 10), "services")
	return change, nil
}

// noteConflict records an event if the change was refused because another
// operator changed the text first.
func (a *API) noteConflict(operator string, from int64, failure *result.Error) {
	if failure == nil || failure.Code() != result.RevisionConflict {
		return
	}
	conflict, _, _ := strings.Cut(failure.Message(), "\n")
	a.options.Note("change refused", "operator "+operator+" changed revision "+strconv.FormatInt(from, 10)+" while "+conflict, "services")
}

// preview checks a change that was made on revision from and describes its
// effects.
func (a *API) preview(ctx context.Context, from int64, source []byte) (ChangeBody, *result.Error) {
	text, err := services.ParseStrict(source, from+1)
	if err != nil {
		return ChangeBody{}, result.New(result.ServicesInvalid, "%v", err)
	}
	current, _, failure := revision.Load(ctx, a.options.Store)
	if failure != nil {
		return ChangeBody{}, failure
	}
	if current.Revision != from {
		return ChangeBody{}, revision.NewConflict(ctx, a.options.Store, current, from, source)
	}
	var before *services.Text
	if from > 0 {
		if before, err = services.Parse([]byte(current.Source), from); err != nil {
			return ChangeBody{}, result.New(result.Internal, "stored services text: %v", err)
		}
	}
	return ChangeBody{
		Revision: from + 1, Difference: revision.Diff(current.Source, string(source)),
		Effect: revision.DescribeChange(before, text), Warnings: text.Warnings(),
	}, nil
}

// defaultHistoryLimit is the number of entries of the audit trail that are
// returned if the request gives no limit.
const defaultHistoryLimit = 100

func (a *API) history(ctx context.Context, c *app.RequestContext, _ string) (any, *result.Error) {
	limit := defaultHistoryLimit
	if value := c.Query("limit"); value != "" {
		var err error
		if limit, err = strconv.Atoi(value); err != nil || limit < 1 {
			return nil, result.New(result.InvalidField, "limit must be a number of 1 or more")
		}
	}
	list, failure := revision.History(ctx, a.options.Store, limit)
	if failure != nil {
		return nil, failure
	}
	return list, nil
}

func (a *API) status(context.Context, *app.RequestContext, string) (any, *result.Error) {
	return a.options.Status(), nil
}

func (a *API) why(ctx context.Context, c *app.RequestContext, _ string) (any, *result.Error) {
	return a.options.Explain(ctx, strings.TrimPrefix(c.Param("subject"), "/")), nil
}
