// Package bundle is the HTTP face of an entry host for batch work: files of
// request lines, jobs on them, and the files of results. Files are read and
// written as streams; a host holds at most one chunk of each.
package bundle

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

// Parts are what a front is built on.
type Parts struct {
	Jobs  Jobs
	Store store.Store
	// Shards is the number of shards of the deployment.
	Shards int
	Note   func(kind, cause string, subjects ...string)
}

// Front answers the callers of files and jobs.
type Front struct {
	p Parts
}

// New returns a front without routes; Register adds them to a server.
func New(p Parts) *Front { return &Front{p: p} }

// Register adds the routes of files and jobs to h.
func (f *Front) Register(h *server.Hertz, e *call.Entrance) {
	h.POST("/v1/files", e.Handle(f.uploadFile))
	h.GET("/v1/files/:id", e.Handle(f.getFile))
	h.GET("/v1/files/:id/content", e.Handle(f.fileContent))
	h.POST("/v1/batches", e.Handle(f.createBatch))
	h.GET("/v1/batches", e.Handle(f.listBatches))
	h.GET("/v1/batches/:id", e.Handle(f.getBatch))
	h.POST("/v1/batches/:id/cancel", e.Handle(f.cancelBatch))
}
