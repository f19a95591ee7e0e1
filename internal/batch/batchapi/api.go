// Package batchapi implements the HTTP API for batch work: uploads of input files,
// jobs that run them, and downloads of their results. Files are received and sent
// as streams, with at most one chunk of each in memory.
package batchapi

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/kingcupquay/kingcupquay/internal/batch/job"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/call"
)

// Jobs carries out actions on batch jobs on the host that holds their shard.
type Jobs interface {
	// Act carries out one of the actions job.ActionCreate, job.ActionCancel and
	// job.ActionGet on the job with the given ID. body is the record of a new job.
	Act(ctx context.Context, action, id string, body []byte) (*job.Record, *result.Error)
}

// Options holds the dependencies and settings of a Front.
type Options struct {
	Jobs  Jobs
	Store store.Store
	// Shards is the number of shards of the deployment.
	Shards int
	// Note records a state change and its cause.
	Note func(kind, cause string, subjects ...string)
}

// API handles the API requests for files and batch jobs.
type API struct {
	config Options
}

// New returns a front. Register adds its routes to a server.
func New(p Options) *API { return &API{config: p} }

// Register adds the routes for files and batch jobs to h.
func (f *API) Register(h *server.Hertz, e *call.Middleware) {
	h.POST("/v1/files", e.Wrap(f.uploadFile))
	h.GET("/v1/files/:id", e.Wrap(f.getFile))
	h.GET("/v1/files/:id/content", e.Wrap(f.fileContent))
	h.POST("/v1/batches", e.Wrap(f.createBatch))
	h.GET("/v1/batches", e.Wrap(f.listBatches))
	h.GET("/v1/batches/:id", e.Wrap(f.getBatch))
	h.POST("/v1/batches/:id/cancel", e.Wrap(f.cancelBatch))
}
