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

// call sends one HTTP call to the host and returns the answer's body; an error
// answer becomes an error with its code and message.
func (s *shell) call(method, path, contentType string, body io.Reader) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(s.server, "/")+path, body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+s.token)
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "host %s can't be reached", s.server)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, answerError(resp.StatusCode, answer)
	}
	return answer, nil
}

func answerError(status int, answer []byte) error {
	var body struct {
		Error struct {
			Code    int    `json:"code"`
			Message string `json:"message"`
			Ran     string `json:"ran"`
		} `json:"error"`
	}
	if err := json.Unmarshal(answer, &body); err != nil || body.Error.Code == 0 {
		return trace.Errorf("status %d: %s", status, bytes.TrimSpace(answer))
	}
	return trace.Errorf("code %d: %s (ran: %s)", body.Error.Code, body.Error.Message, body.Error.Ran)
}

// get reads path into out.
func (s *shell) get(path string, out any) error {
	answer, err := s.call(http.MethodGet, path, "", nil)
	if err != nil {
		return err
	}
	return trace.Wrap(json.Unmarshal(answer, out))
}

// print shows value as JSON, or rows as a table under header.
func (s *shell) print(value any, header []string, rows [][]string) error {
	if s.output == "json" {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(value))
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return trace.Wrap(w.Flush())
}
