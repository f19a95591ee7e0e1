package admin

import (
	"bytes"
	"context"
	_ "embed" // for status.html
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

// PageBackend is one backend server on the status page.
type PageBackend struct {
	Name, Zone, Kind string
	// Known reports whether there is a load report of a live host for the server.
	// The report comes from the host that runs the server's queue. Down, Running,
	// Batch and Waiting are taken from it, and Leaving and Slots from the services
	// text.
	Known, Down, Leaving           bool
	Running, Batch, Slots, Waiting int
}

// PageJob is one job on the status page.
type PageJob struct {
	ID, Organisation, State  string
	Completed, Failed, Total int
	Due                      time.Time
}

// Page is the data of a host's status page.
type Page struct {
	Host, Zone string
	At         time.Time
	Revision   int64
	Hosts      []HostStatus
	Backends   []PageBackend
	Jobs       []PageJob
	// Events holds the latest events, newest first.
	Events []cause.Event
}

// Render returns the page as a self-contained HTML document.
func (p *Page) Render() ([]byte, error) {
	var b bytes.Buffer
	if err := statusPage.Execute(&b, p); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// page serves the status page. It accepts an operator's token as the password of
// basic authentication, with any user name, because a browser cannot send a
// bearer token.
func (a *API) page(_ context.Context, c *app.RequestContext) {
	if token, ok := basicAuthPassword(string(c.GetHeader("Authorization"))); ok {
		c.Request.Header.Set("Authorization", "Bearer "+token)
	}
	if _, failure := a.authenticate(c); failure != nil {
		c.Header("WWW-Authenticate", `Basic realm="kingcupquay operators", charset="UTF-8"`)
		c.String(http.StatusUnauthorized, "an operator's token is needed as the password\n")
		return
	}
	page := a.options.Page()
	body, err := page.Render()
	if err != nil {
		c.String(http.StatusInternalServerError, err.Error())
		return
	}
	c.Header("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	c.Data(http.StatusOK, "text/html; charset=utf-8", body)
}

// basicAuthPassword returns the password in the Authorization header of basic
// authentication.
func basicAuthPassword(header string) (string, bool) {
	encoded, ok := strings.CutPrefix(header, "Basic ")
	if !ok {
		return "", false
	}
	credentials, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return "", false
	}
	_, password, ok := strings.Cut(string(credentials), ":")
	return password, ok
}
