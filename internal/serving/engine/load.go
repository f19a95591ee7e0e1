package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/gravitational/trace"
)

// loadPath is where engines report their load, with a delay.
const loadPath = "/load"

// Load is an engine's delayed load report.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Load fetches the load report of the engine at address.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+loadPath, nil)
	if err != nil {
		return load, trace.Wrap(err)
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return load, trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return load, trace.BadParameter("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&load)
	return load, trace.Wrap(err)
}
