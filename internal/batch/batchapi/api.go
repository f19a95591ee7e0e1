// Package batchapi is the HTTP face of an entry host for batch work: files of
// request lines, jobs on them, and the files of results. Files are read and
// written as streams; a host holds at most one chunk of each.
package batchapi

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/kingcupquay/kingcupquay/internal/batch/job"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/call"
)

// Jobs acts on batch jobs, wherever their shard is held.
type Jobs interface {
	// Act carries out one of the job package's actions.
	Act(ctx context.Context, action, id string, body []byte) (*job.Record, *result.Error)
}

// Options are what a front is built on.
type Options struct {
	Jobs  Jobs
	Store store.Store
	// Shards is the number of shards of the deployment.
	Shards int
	Note   func(kind, cause string, subjects ...string)
}

// API answers the callers of files and jobs.
type API struct {
	p Options
}

// New returns a front without routes; Register adds them to a server.
func New(p Options) *API { return &API{p: p} }

// Register adds the routes of files and jobs to h.
func (f *API) Register(h *server.Hertz, e *call.Middleware) {
	h.POST("/v1/files", e.Wrap(f.uploadFile))
	h.GET("/v1/files/:id", e.Wrap(f.getFile))
	h.GET("/v1/files/:id/content", e.Wrap(f.fileContent))
	h.POST("/v1/batches", e.Wrap(f.createBatch))
	h.GET("/v1/batches", e.Wrap(f.listBatches))
	h.GET("/v1/batches/:id", e.Wrap(f.getBatch))
	h.POST("/v1/batches/:id/cancel", e.Wrap(f.cancelBatch))
}
