package job

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
	"github.com/kingcupquay/kingcupquay/internal/batch/item"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	checkpointInterval = time.Second
	checkpointBytes    = 512 << 10
	transientWait      = 250 * time.Millisecond
	transientWaitMax   = 5 * time.Second
)

// Caller runs one item to its end.
type Caller interface {
	// Call returns the answer's status and body; the error says why there is none.
	Call(ctx context.Context, id string, j *Record, i *item.Item) (item.Response, *result.Error)
	// Window returns how many items of a job may be in progress side by side.
	Window(j *Record) int
}

// Holder tells whether this host may still act on a shard.
type Holder interface {
	// Token returns the fencing token of a shard held here.
	Token(shard int) (int64, bool)
}

// Run is one job in progress at its shard's holder.
type Run struct {
	store  store.Store
	timer  timer.Service
	caller Caller
	holder Holder
	pool   *ants.Pool
	shard  int
	token  int64
	// job is the record as the run began; items and files are read from it.
	job Record

	// writing is held while a checkpoint is written.
	writing sync.Mutex

	mu sync.Mutex
	// record counts what is durable; record.State is not final while the run goes on.
	record *Record
	// durable holds the items in written checkpoints, seen those and the pending ones.
	durable bitmap
	seen    bitmap
	// pending are the results not yet in a checkpoint.
	pending []outcome

	cancel context.CancelCauseFunc
	ended  chan struct{}
}

// outcome is the result line of one item.
type outcome struct {
	number int
	failed bool
	line   []byte
}

var (
	errCancelled = errors.New("job cancelled")
	errMoved     = errors.New("shard moved")
	errExpired   = errors.New("job is past its due time")
)

// Done is closed when the run has ended here.
func (r *Run) Done() <-chan struct{} { return r.ended }

// Record returns a copy of the job's record with the counts up to now.
func (r *Run) Record() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := *r.record
	for _, o := range r.pending {
		c.count(o)
	}
	return c
}

// work runs every item that is not done, then ends the job.
func (r *Run) work(ctx context.Context) {
	defer close(r.ended)
	due := r.timer.After(r.job.Due.Sub(r.timer.Now()), func(time.Time) { r.cancel(errExpired) })
	defer due.Cancel()
	ticker := r.timer.Every(checkpointInterval, func(time.Time) { r.checkpointAsync() })
	err := r.runItems(ctx)
	ticker.Cancel()
	switch {
	case err == nil:
		r.checkpoint(Completed, "")
	case errors.Is(err, errCancelled):
		r.checkpoint(Cancelled, "cancelled by the caller")
	case errors.Is(err, errExpired):
		r.checkpoint(Expired, err.Error())
	case !errors.Is(err, errMoved):
		r.checkpoint(FailedJob, err.Error())
	}
}

func (r *Run) runItems(ctx context.Context) error {
	var group sync.WaitGroup
	slots := make(chan struct{}, max(1, r.caller.Window(&r.job)))
	number := 0
	for c := range r.job.Chunks {
		lines, err := r.readChunk(ctx, c)
		if err != nil {
			group.Wait()
			return err
		}
		for line := range bytes.Lines(lines) {
			n := number
			number++
			if r.isDone(n) {
				continue
			}
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				group.Wait()
				return context.Cause(ctx)
			}
			group.Add(1)
			line = bytes.TrimSpace(line)
			work := func() {
				defer func() { <-slots; group.Done() }()
				r.runItem(ctx, n, line)
			}
			if err := r.pool.Submit(work); err != nil {
				go work()
			}
		}
	}
	group.Wait()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return nil
}

func (r *Run) isDone(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen.has(n)
}

// readChunk reads until the store answers or ctx ends.
func (r *Run) readChunk(ctx context.Context, number int) ([]byte, error) {
	for wait := transientWait; ; wait = min(2*wait, transientWaitMax) {
		lines, err := chunk.Read(ctx, r.store, chunk.Key(r.job.InputFile, number))
		if err == nil {
			return lines, nil
		}
		if err.Code() != result.StoreUnavailable {
			return nil, err
		}
		if !r.sleep(ctx, wait) {
			return nil, context.Cause(ctx)
		}
	}
}

func (r *Run) sleep(ctx context.Context, d time.Duration) bool {
	woken := make(chan struct{})
	sub := r.timer.After(d, func(time.Time) { close(woken) })
	defer sub.Cancel()
	select {
	case <-woken:
		return true
	case <-ctx.Done():
		return false
	}
}

// runItem tries an item until it has a result or the run ends.
func (r *Run) runItem(ctx context.Context, n int, line []byte) {
	i, failure := item.Parse(line, n+1)
	if failure != nil {
		r.add(n, item.Result{Error: item.FailureOf(failure)})
		return
	}
	id := itemID(r.job.ID, n)
	for wait := transientWait; ; wait = min(2*wait, transientWaitMax) {
		response, failure := r.caller.Call(ctx, id, &r.job, i)
		if failure == nil {
			r.add(n, item.Result{ID: id, CustomID: i.CustomID(), Response: &response})
			return
		}
		if ctx.Err() != nil {
			return
		}
		if permanent(failure) {
			r.add(n, item.Result{ID: id, CustomID: i.CustomID(), Error: item.FailureOf(failure)})
			return
		}
		if !r.sleep(ctx, wait) {
			return
		}
	}
}

// permanent reports whether trying the item again can't help.
func permanent(e *result.Error) bool {
	switch e.Code() {
	case result.NoBackend, result.BackendFailed, result.BackendSilent, result.BackendCrashed, result.Overloaded,
		result.Cancelled, result.Stopping, result.QueueFull, result.RateLimited, result.ConcurrencyLimited,
		result.StoreUnavailable, result.DeadlineTooShort, result.DeadlinePassed, result.LeaseLost:
		return false
	}
	return true
}

// add puts an item's result into the buffers.
func (r *Run) add(n int, one item.Result) {
	line, err := json.Marshal(one)
	if err != nil {
		line, _ = json.Marshal(item.Result{ID: one.ID, CustomID: one.CustomID, Error: item.FailureOf(result.From(err))})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen.has(n) {
		return
	}
	r.seen.add(n)
	r.pending = append(r.pending, outcome{number: n, failed: one.Error != nil, line: line})
}

// Shard returns the shard of a job.
func Shard(id string, shards int) int { return zone.Shard(id, shards) }
