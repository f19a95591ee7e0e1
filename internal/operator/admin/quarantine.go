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

// Quarantine holds what is held against request bodies.
type Quarantine interface {
	// List returns the suspects and the condemned, newest first.
	List() []quarantine.Record
	// Lift clears a body on all hosts; false if nothing is held against it.
	Lift(ctx context.Context, f quarantine.Fingerprint) bool
}

var _ Quarantine = (*quarantine.Guard)(nil)

// QuarantinedBody is one request body that is held back.
type QuarantinedBody struct {
	Fingerprint string    `json:"fingerprint"`
	Service     string    `json:"service"`
	State       string    `json:"state"`
	Servers     []string  `json:"servers"`
	Since       time.Time `json:"since"`
	Until       time.Time `json:"until"`
}

func (o *Console) listQuarantine(context.Context, *app.RequestContext, string) (any, *result.Error) {
	list := []QuarantinedBody{}
	for _, r := range o.p.Quarantine.List() {
		list = append(list, QuarantinedBody{
			Fingerprint: hex.EncodeToString(r.Fingerprint[:]), Service: r.Service, State: r.State.String(),
			Servers: r.Servers, Since: r.ChangedAt, Until: r.ExpiresAt,
		})
	}
	return list, nil
}

// liftQuarantine writes the audit entry first: a lift that can't be recorded
// does not happen.
func (o *Console) liftQuarantine(ctx context.Context, c *app.RequestContext, by string) (any, *result.Error) {
	name := c.Param("fingerprint")
	var f quarantine.Fingerprint
	raw, err := hex.DecodeString(name)
	if err != nil || len(raw) != len(f) {
		return nil, result.New(result.InvalidField, "a fingerprint has %d hexadecimal digits", 2*len(f))
	}
	copy(f[:], raw)
	if !o.holds(f) {
		return nil, result.New(result.NotFound, "nothing is held against body %s", name)
	}
	if failure := o.audit(ctx, by, "quarantine lifted", name); failure != nil {
		return nil, failure
	}
	o.p.Quarantine.Lift(ctx, f)
	o.p.Note("body cleared", "operator "+by+" lifted the quarantine", name)
	return struct {
		Lifted string `json:"lifted"`
	}{name}, nil
}

func (o *Console) holds(f quarantine.Fingerprint) bool {
	for _, r := range o.p.Quarantine.List() {
		if r.Fingerprint == f {
			return true
		}
	}
	return false
}

// audit writes an entry that belongs to no change of the services text.
func (o *Console) audit(ctx context.Context, by, action, subject string) *result.Error {
	return revision.AddAuditEntry(ctx, o.p.Store, revision.AuditEntry{At: o.p.Timer.Now(), By: by, Action: action, Subject: subject})
}
