package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

const callTimeout = 5 * time.Minute

// call sends an HTTP request to the host and returns the response body. A status
// other than 200 is returned as an error with the code and message of the body.
func (c *cli) call(method, path, contentType string, body io.Reader) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.server, "/")+path, body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "host %s can't be reached", c.server)
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, responseError(resp.StatusCode, content)
	}
	return content, nil
}

// responseError converts the body of an error response into an error.
func responseError(status int, content []byte) error {
	var body struct {
		Error struct {
			Code    int    `json:"code"`
			Message string `json:"message"`
			Ran     string `json:"ran"`
		} `json:"error"`
	}
	if err := json.Unmarshal(content, &body); err != nil || body.Error.Code == 0 {
		return trace.Errorf("status %d: %s", status, bytes.TrimSpace(content))
	}
	return trace.Errorf("code %d: %s (ran: %s)", body.Error.Code, body.Error.Message, body.Error.Ran)
}

// getJSON sends a GET request for path and decodes the JSON response into out.
func (c *cli) getJSON(path string, out any) error {
	content, err := c.call(http.MethodGet, path, "", nil)
	if err != nil {
		return err
	}
	return trace.Wrap(json.Unmarshal(content, out))
}

// print writes value as JSON or rows as a table with header, depending on the
// output flag.
func (c *cli) print(value any, header []string, rows [][]string) error {
	if c.output == "json" {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(value))
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return trace.Wrap(w.Flush())
}
