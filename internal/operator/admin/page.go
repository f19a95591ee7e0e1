package admin

import (
	"bytes"
	"context"
	_ "embed" // for the page
	"encoding/base64"
	"html/template"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/kingcupquay/kingcupquay/internal/operator/cause"
)

//go:embed status.html
var statusSource string

var statusPage = template.Must(template.New("status").Parse(statusSource))

// PageBackend is one back end on the status page.
type PageBackend struct {
	Name, Zone, Kind string
	// Known says that a keeper reported on it; the numbers are from there.
	Known, Down, Leaving           bool
	Running, Batch, Slots, Waiting int
}

// PageJob is one job on the status page.
type PageJob struct {
	ID, Organisation, State  string
	Completed, Failed, Total int
	Due                      time.Time
}

// Page is what the status page of a host shows.
type Page struct {
	Host, Zone string
	At         time.Time
	Revision   int64
	Hosts      []HostStatus
	Backends   []PageBackend
	Jobs       []PageJob
	// Events are the latest first.
	Events []cause.Event
}

// Render returns the page as HTML that needs no other resource.
func (p *Page) Render() ([]byte, error) {
	var b bytes.Buffer
	if err := statusPage.Execute(&b, p); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// page answers a browser: it takes an operator's token as the password of any
// user, since a browser sends no bearer token.
func (o *Console) page(_ context.Context, c *app.RequestContext) {
	if token, ok := passwordOf(string(c.GetHeader("Authorization"))); ok {
		c.Request.Header.Set("Authorization", "Bearer "+token)
	}
	if _, failure := o.authenticate(c); failure != nil {
		c.Header("WWW-Authenticate", `Basic realm="kingcupquay operators", charset="UTF-8"`)
		c.String(http.StatusUnauthorized, "an operator's token is needed as the password\n")
		return
	}
	page := o.p.Page()
	body, err := page.Render()
	if err != nil {
		c.String(http.StatusInternalServerError, err.Error())
		return
	}
	c.Header("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	c.Data(http.StatusOK, "text/html; charset=utf-8", body)
}

func passwordOf(header string) (string, bool) {
	encoded, ok := strings.CutPrefix(header, "Basic ")
	if !ok {
		return "", false
	}
	pair, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return "", false
	}
	_, password, ok := strings.Cut(string(pair), ":")
	return password, ok
}
