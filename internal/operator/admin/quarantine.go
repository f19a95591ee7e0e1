package admin

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/revision"
	"github.com/kingcupquay/kingcupquay/internal/serving/quarantine"
)

// Quarantine holds the records of request bodies that are suspected of crashing
// backend servers or are quarantined.
type Quarantine interface {
	// List returns the records of suspect and quarantined bodies, newest first.
	List() []quarantine.Record
	// Lift clears a body on all hosts. It returns false if there is no record of
	// the body.
	Lift(ctx context.Context, f quarantine.Fingerprint) bool
}

var _ Quarantine = (*quarantine.Guard)(nil)

// QuarantinedBody is one suspect or quarantined request body in the answer to a
// list call.
type QuarantinedBody struct {
	Fingerprint string    `json:"fingerprint"`
	Service     string    `json:"service"`
	State       string    `json:"state"`
	Servers     []string  `json:"servers"`
	Since       time.Time `json:"since"`
	Until       time.Time `json:"until"`
}

func (a *API) listQuarantine(context.Context, *app.RequestContext, string) (any, *result.Error) {
	list := []QuarantinedBody{}
	for _, r := range a.options.Quarantine.List() {
		list = append(list, QuarantinedBody{
			Fingerprint: hex.EncodeToString(r.Fingerprint[:]), Service: r.Service, State: r.State.String(),
			Servers: r.Servers, Since: r.ChangedAt, Until: r.ExpiresAt,
		})
	}
	return list, nil
}

// liftQuarantine clears a request body. It writes the audit entry first, so that
// no body is cleared without an entry.
func (a *API) liftQuarantine(ctx context.Context, c *app.RequestContext, operator string) (any, *result.Error) {
	fingerprint := c.Param("fingerprint")
	var f quarantine.Fingerprint
	raw, err := hex.DecodeString(fingerprint)
	if err != nil || len(raw) != len(f) {
		return nil, result.New(result.InvalidField, "a fingerprint has %d hexadecimal digits", 2*len(f))
	}
	copy(f[:], raw)
	if !a.hasRecord(f) {
		return nil, result.New(result.NotFound, "nothing is held against body %s", fingerprint)
	}
	if failure := a.audit(ctx, operator, "quarantine lifted", fingerprint); failure != nil {
		return nil, failure
	}
	a.options.Quarantine.Lift(ctx, f)
	a.options.Note("body cleared", "operator "+operator+" lifted the quarantine", fingerprint)
	return struct {
		Lifted string `json:"lifted"`
	}{fingerprint}, nil
}

// hasRecord reports whether there is a record of a body.
func (a *API) hasRecord(f quarantine.Fingerprint) bool {
	for _, r := range a.options.Quarantine.List() {
		if r.Fingerprint == f {
			return true
		}
	}
	return false
}

// audit writes an audit entry for an action other than a change of the services
// text.
func (a *API) audit(ctx context.Context, operator, action, subject string) *result.Error {
	return revision.AddAuditEntry(ctx, a.options.Store, revision.AuditEntry{At: a.options.Timer.Now(), By: operator, Action: action, Subject: subject})
}
