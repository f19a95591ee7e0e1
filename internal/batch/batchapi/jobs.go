package batchapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
	"github.com/kingcupquay/kingcupquay/internal/batch/job"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/revision"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/call"
	"github.com/kingcupquay/kingcupquay/internal/serving/endpoint"
)

const (
	maxBatchBodyBytes   = 64 << 10
	defaultPageSize     = 20
	maxPageSize         = 100
	maxCompletionWindow = 30 * 24 * time.Hour
)

// createBatchBody is the request body that creates a batch job.
type createBatchBody struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// createBatch creates a job. If the caller resends a job, with the same lines,
// endpoint, metadata and idempotency key, the answer is the existing job.
func (f *API) createBatch(ctx context.Context, c *call.Call) *result.Error {
	body, failure := c.ReadBody(maxBatchBodyBytes)
	if failure != nil {
		return failure
	}
	var in createBatchBody
	if err := json.Unmarshal(body, &in); err != nil {
		return result.New(result.MalformedJSON, "%v", err)
	}
	key, failure := c.IdempotencyKey()
	if failure != nil {
		return failure
	}
	if in.CompletionWindow == "" {
		in.CompletionWindow = "24h"
	}
	window, err := time.ParseDuration(in.CompletionWindow)
	if err != nil || window <= 0 || window > maxCompletionWindow {
		return result.New(result.InvalidField, "completion_window must be a duration up to %s, as in 24h", maxCompletionWindow)
	}
	if failure := checkEndpoint(c.Text(), in.Endpoint); failure != nil {
		return failure
	}
	manifest, failure := chunk.Open(ctx, f.config.Store, in.InputFileID)
	if failure != nil {
		return failure
	}
	if manifest.Organisation != c.Organisation().Name {
		return result.New(result.NotFound, "no file %s", in.InputFileID)
	}
	record := &job.Record{
		ID: jobID(c.Organisation().Name, key, manifest.Digest, &in), Organisation: c.Organisation().Name,
		InputFile: in.InputFileID, Endpoint: in.Endpoint, CompletionWindow: in.CompletionWindow, Metadata: in.Metadata,
		State: job.InProgress, Created: c.Now(), Due: c.Now().Add(window), Chunks: manifest.Chunks, Total: manifest.Lines,
		FirstItems: manifest.FirstLines,
	}
	encoded, err := json.Marshal(record)
	if err != nil {
		return result.From(err)
	}
	created, failure := f.config.Jobs.Act(ctx, job.ActionCreate, record.ID, encoded)
	if failure != nil {
		return failure
	}
	if !created.Created.Equal(record.Created) {
		f.config.Note("job sent again", c.Organisation().Name+" sent the same job again; the first one goes on", record.ID)
	}
	return c.WriteJSON(batchView(created))
}

// checkEndpoint checks that name is an endpoint whose items may be run again. The
// items of a plain service may be only if the service is idempotent.
func checkEndpoint(text *services.Text, name string) *result.Error {
	if name == endpoint.ChatCompletions || name == endpoint.Completions {
		return nil
	}
	service, _, ok := endpoint.ResolvePlain(text, name)
	if !ok {
		return result.New(result.InvalidField,
			"endpoint must be /v1/chat/completions, /v1/completions or /services/NAME/PATH of a plain service")
	}
	if !service.Idempotent {
		return result.New(result.InvalidField,
			"service %s is not idempotent; a batch may repeat its items, so call the service directly", service.Name)
	}
	return nil
}

// jobID returns the ID of a job, a hash of the organisation, the idempotency key
// and what the job consists of. A resent job has the same ID on every host.
func jobID(organisation, key, digest string, in *createBatchBody) string {
	metadata, _ := json.Marshal(in.Metadata)
	hash := sha256.New()
	for _, part := range []string{organisation, key, digest, in.Endpoint, string(metadata)} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	return "batch-" + hex.EncodeToString(hash.Sum(nil)[:16])
}

// callersJob returns the job with the ID in the path if it belongs to the caller's
// organisation.
func (f *API) callersJob(ctx context.Context, c *call.Call) (*job.Record, *result.Error) {
	record, failure := f.config.Jobs.Act(ctx, job.ActionGet, c.HTTP().Param("id"), nil)
	if failure != nil {
		return nil, failure
	}
	if record.Organisation != c.Organisation().Name {
		return nil, result.New(result.NotFound, "no job %s", c.HTTP().Param("id"))
	}
	return record, nil
}

func (f *API) getBatch(ctx context.Context, c *call.Call) *result.Error {
	record, failure := f.callersJob(ctx, c)
	if failure != nil {
		return failure
	}
	return c.WriteJSON(batchView(record))
}

func (f *API) cancelBatch(ctx context.Context, c *call.Call) *result.Error {
	record, failure := f.callersJob(ctx, c)
	if failure != nil {
		return failure
	}
	record, failure = f.config.Jobs.Act(ctx, job.ActionCancel, record.ID, nil)
	if failure != nil {
		return failure
	}
	f.config.Note("job cancelled", "caller "+c.Organisation().Name+" asked for it", record.ID)
	// The job is already cancelled, so a failure to write the audit entry is
	// ignored.
	_ = revision.AddAuditEntry(ctx, f.config.Store, revision.AuditEntry{
		At: c.Now(), By: c.Organisation().Name, Action: "job cancelled", Subject: record.ID,
	})
	return c.WriteJSON(batchView(record))
}

func (f *API) listBatches(ctx context.Context, c *call.Call) *result.Error {
	limit := defaultPageSize
	if value := c.HTTP().Query("limit"); value != "" {
		n, err := strconv.Atoi(value)
		if err != nil || n < 1 || n > maxPageSize {
			return result.New(result.InvalidField, "limit must be 1 to %d", maxPageSize)
		}
		limit = n
	}
	records, more, failure := job.List(ctx, f.config.Store, f.config.Shards, c.Organisation().Name, c.HTTP().Query("after"), limit)
	if failure != nil {
		return failure
	}
	page := call.List[batchBody]{Object: "list", Data: []batchBody{}, HasMore: more}
	for _, record := range records {
		page.Data = append(page.Data, batchView(record))
	}
	if n := len(page.Data); n > 0 {
		page.FirstID, page.LastID = page.Data[0].ID, page.Data[n-1].ID
	}
	return c.WriteJSON(page)
}

// batchBody is the response that describes a batch job.
type batchBody struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     int64             `json:"in_progress_at"`
	ExpiresAt        int64             `json:"expires_at"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
	Cause            string            `json:"cause,omitempty"`
}

type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

func batchView(r *job.Record) batchBody {
	b := batchBody{
		ID: r.ID, Object: "batch", Endpoint: r.Endpoint, InputFileID: r.InputFile, CompletionWindow: r.CompletionWindow,
		Status: string(r.State), CreatedAt: r.Created.Unix(), InProgressAt: r.Created.Unix(), ExpiresAt: r.Due.Unix(),
		RequestCounts: requestCounts{Total: r.Total, Completed: r.Completed, Failed: r.Failed},
		Metadata:      r.Metadata, Cause: r.Cause,
	}
	if r.OutputChunks > 0 {
		b.OutputFileID = r.OutputFile()
	}
	if r.ErrorChunks > 0 {
		b.ErrorFileID = r.ErrorFile()
	}
	if r.State == job.Completed {
		b.CompletedAt = r.Ended.Unix()
	}
	if r.State == job.Cancelled {
		b.CancelledAt = r.Ended.Unix()
	}
	return b
}
