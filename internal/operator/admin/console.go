// Package admin is the HTTP face of an entry host towards operators: the
// services text, its history and spread, and the causes of what happened. It
// answers only tokens of an organisation that the services text marks as
// operator; before the first text, anyone may apply one.
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

// HostStatus is what a status call says of one host.
type HostStatus struct {
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Revision int64  `json:"revision"`
	Alive    bool   `json:"alive"`
	Leaving  bool   `json:"leaving"`
	Shards   int    `json:"shards"`
}

// Story is the answer to a why call.
type Story struct {
	cause.Answer
	// Missing names the hosts and stores that could not be asked, and up to when
	// their events are known.
	Missing []string `json:"missing"`
}

// Parts are what a console is built on.
type Parts struct {
	Timer  timer.Service
	Store  store.Store
	Text   func() *services.Text
	Adopt  func(*services.Text)
	Status func() []HostStatus
	Why    func(ctx context.Context, subject string) Story
	Page   func() Page
	Note   func(kind, cause string, subjects ...string)
	// Quarantine holds what is held against request bodies.
	Quarantine Quarantine
}

// Console answers operators.
type Console struct {
	p Parts
}

// New returns a console; Register adds its routes to a server.
func New(p Parts) *Console { return &Console{p: p} }

// Register adds the operators' routes to h.
func (o *Console) Register(h *server.Hertz) {
	h.GET("/operator/text", o.handle(o.showText))
	h.PUT("/operator/text", o.handle(o.applyText))
	h.GET("/operator/history", o.handle(o.history))
	h.GET("/operator/quarantine", o.handle(o.listQuarantine))
	h.DELETE("/operator/quarantine/:fingerprint", o.handle(o.liftQuarantine))
	h.GET("/operator/status", o.handle(o.status))
	h.GET("/operator/why/*subject", o.handle(o.why))
	h.GET("/status", o.page)
}

type handler func(ctx context.Context, c *app.RequestContext, by string) (any, *result.Error)

func (o *Console) handle(h handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		by, failure := o.authenticate(c)
		var out any
		if failure == nil {
			out, failure = h(ctx, c, by)
		}
		if failure != nil {
			c.JSON(failure.Code().Status(), map[string]any{"error": map[string]any{
				"code": int(failure.Code()), "message": failure.Error(), "ran": string(failure.Ran()),
			}})
			return
		}
		body, err := json.Marshal(out)
		if err != nil {
			c.String(http.StatusInternalServerError, err.Error())
			return
		}
		c.Data(http.StatusOK, "application/json", body)
	}
}

// authenticate returns the name of the operator's organisation.
func (o *Console) authenticate(c *app.RequestContext) (string, *result.Error) {
	text := o.p.Text()
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

// TextBody is the services text as operators read it.
type TextBody struct {
	Revision int64     `json:"revision"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	Source   string    `json:"source"`
}

// ChangeBody tells what a change does, or would do in a dry run.
type ChangeBody struct {
	Revision int64  `json:"revision"`
	By       string `json:"by"`
	DryRun   bool   `json:"dry_run"`
	// Difference holds the lines that went and came.
	Difference string `json:"difference"`
	// Effect says in sentences what the change does, the gravest first.
	Effect   []string          `json:"effect"`
	Warnings services.Problems `json:"warnings"`
}

func (o *Console) showText(ctx context.Context, _ *app.RequestContext, _ string) (any, *result.Error) {
	d, _, failure := revision.Load(ctx, o.p.Store)
	if failure != nil {
		text := o.p.Text()
		if text == nil {
			return nil, failure
		}
		return TextBody{Revision: text.Revision(), Source: string(text.Source())}, nil
	}
	return TextBody{Revision: d.Revision, By: d.By, At: d.At, Source: d.Source}, nil
}

func (o *Console) applyText(ctx context.Context, c *app.RequestContext, by string) (any, *result.Error) {
	from, err := strconv.ParseInt(c.Query("revision"), 10, 64)
	if err != nil {
		return nil, result.New(result.InvalidField, "revision must be the number that the change was made on")
	}
	if name := c.Query("by"); name != "" {
		by = name + " (" + by + ")"
	}
	// The library reuses the body's memory after the answer; the text keeps it.
	source := bytes.Clone(c.Request.Body())
	change, failure := o.preview(ctx, from, source)
	o.noteRace(by, from, failure)
	change.By = by
	if dry, _ := strconv.ParseBool(c.Query("dry_run")); dry || failure != nil {
		change.DryRun = true
		return change, failure
	}
	text, failure := revision.Apply(ctx, o.p.Store, o.p.Timer.Now(), by, uuid.NewString(), from, source)
	if failure != nil {
		o.noteRace(by, from, failure)
		return nil, failure
	}
	o.p.Adopt(text)
	o.p.Note("services text changed", "operator "+by+" applied revision "+strconv.FormatInt(text.Revision(), 10), "services")
	return change, nil
}

// noteRace notes that another operator was faster.
func (o *Console) noteRace(by string, from int64, failure *result.Error) {
	if failure == nil || failure.Code() != result.RevisionConflict {
		return
	}
	winner, _, _ := strings.Cut(failure.Message(), "\n")
	o.p.Note("change refused", "operator "+by+" changed revision "+strconv.FormatInt(from, 10)+" while "+winner, "services")
}

// preview checks a change on revision from and tells its effect.
func (o *Console) preview(ctx context.Context, from int64, source []byte) (ChangeBody, *result.Error) {
	text, err := services.ParseStrict(source, from+1)
	if err != nil {
		return ChangeBody{}, result.New(result.ServicesInvalid, "%v", err)
	}
	current, _, failure := revision.Load(ctx, o.p.Store)
	if failure != nil {
		return ChangeBody{}, failure
	}
	if current.Revision != from {
		return ChangeBody{}, revision.NewConflict(ctx, o.p.Store, current, from, source)
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

// defaultHistory is how many lines of the audit trail are shown unasked.
const defaultHistory = 100

func (o *Console) history(ctx context.Context, c *app.RequestContext, _ string) (any, *result.Error) {
	limit := defaultHistory
	if asked := c.Query("limit"); asked != "" {
		var err error
		if limit, err = strconv.Atoi(asked); err != nil || limit < 1 {
			return nil, result.New(result.InvalidField, "limit must be a number of 1 or more")
		}
	}
	list, failure := revision.History(ctx, o.p.Store, limit)
	if failure != nil {
		return nil, failure
	}
	return list, nil
}

func (o *Console) status(context.Context, *app.RequestContext, string) (any, *result.Error) {
	return o.p.Status(), nil
}

func (o *Console) why(ctx context.Context, c *app.RequestContext, _ string) (any, *result.Error) {
	return o.p.Why(ctx, strings.TrimPrefix(c.Param("subject"), "/")), nil
}
