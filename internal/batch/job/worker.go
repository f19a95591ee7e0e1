package job

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	storeTimeout = 5 * time.Second
	// storeRetryDelay is the delay before a failed store call is retried.
	storeRetryDelay = 250 * time.Millisecond
)

var (
	checkpoints  = metrics.GetOrCreateCounter("kingcupquay_job_checkpoints_total")
	chunksRead   = metrics.GetOrCreateCounter("kingcupquay_job_chunks_read_total")
	itemsStarted = metrics.GetOrCreateCounter("kingcupquay_job_items_started_total")
	jobsEnded    = metrics.GetOrCreateCounter("kingcupquay_jobs_ended_total")
)

type reply struct {
	record  *Record
	failure *result.Error
}

// worker passes events to one open shard and carries out the shard's actions.
type worker struct {
	manager     *Manager
	shardNumber int
	token       int64
	// closed is closed when the shard has returned Closed.
	closed chan struct{}

	mu         sync.Mutex
	shard      *Shard
	lastTicket Ticket
	replyChans map[Ticket]chan reply
	// cancels holds the cancel functions of the items in progress by job and
	// item number.
	cancels map[string]map[int]context.CancelFunc
}

// handleEvent passes one event to the shard and carries out the actions that the
// shard returns.
func (w *worker) handleEvent(event func(now time.Time) []Action) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.execute(event(w.manager.config.Timer.Now()))
}

func (w *worker) tick(now time.Time) {
	if !w.held() {
		w.abandon()
		return
	}
	w.handleEvent(func(time.Time) []Action { return w.shard.Tick(now) })
}

// held reports whether this host still holds the shard under the same fencing
// token.
func (w *worker) held() bool {
	token, ok := w.manager.config.Tokens.Token(w.shardNumber)
	return ok && token == w.token
}

func (w *worker) abandon() {
	w.handleEvent(func(time.Time) []Action { return w.shard.Abandon() })
}

func (w *worker) close() {
	if !w.held() {
		w.abandon()
	}
	w.handleEvent(w.shard.Close)
	<-w.closed
}

func (w *worker) get(id string) (Record, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.shard.Get(id)
}

func (w *worker) runs(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.shard.IsRunning(id)
}

func (w *worker) demands() []Demand {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.shard.Demands()
}

func (w *worker) setWindows(shares map[string]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, window := range shares {
		w.shard.SetWindow(id, window)
	}
}

// submit passes a caller's command to the shard and waits for the reply.
func (w *worker) submit(ctx context.Context, command func(time.Time, Ticket) []Action) (*Record, *result.Error) {
	replyChan := make(chan reply, 1)
	w.handleEvent(func(now time.Time) []Action {
		w.lastTicket++
		w.replyChans[w.lastTicket] = replyChan
		return command(now, w.lastTicket)
	})
	select {
	case r := <-replyChan:
		return r.record, r.failure
	case <-ctx.Done():
		return nil, result.New(result.StoreUnavailable, "job not confirmed; send it again").WithRetry(time.Second)
	}
}

// execute carries out actions; the caller holds w.mu.
func (w *worker) execute(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case ReadChunk:
			go w.readChunk(a)
		case RunItem:
			w.runItem(a)
		case StopItems:
			for _, cancel := range w.cancels[a.Job] {
				cancel()
			}
		case WriteCheckpoint:
			go w.write(a.Checkpoint)
		case ReadBack:
			go w.readBack()
		case ReplyTo:
			w.reply(a)
		case Park:
			w.park(a)
		case Remove:
			go w.remove(a.Record)
		case ReportEnd:
			jobsEnded.Inc()
			w.manager.config.Note("job ended", string(a.Record.State)+" "+a.Record.Cause, a.Job)
		case Closed:
			close(w.closed)
		}
	}
}

func (w *worker) reply(a Action) {
	replyChan, ok := w.replyChans[a.Ticket]
	if !ok {
		return
	}
	delete(w.replyChans, a.Ticket)
	replyChan <- reply{record: a.Record, failure: a.Failure}
}

func (w *worker) readChunk(a Action) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	chunksRead.Inc()
	lines, failure := chunk.Read(ctx, w.manager.config.Store, chunk.Key(a.File, a.Chunk))
	w.handleEvent(func(now time.Time) []Action { return w.shard.ChunkRead(now, a.Job, a.Chunk, lines, failure) })
}

// runItem starts the run of an item, in a new goroutine if the pool is full; the
// caller holds w.mu.
func (w *worker) runItem(a Action) {
	record, ok := w.shard.Get(a.Job)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	if w.cancels[a.Job] == nil {
		w.cancels[a.Job] = make(map[int]context.CancelFunc)
	}
	w.cancels[a.Job][a.Number] = cancel
	itemsStarted.Inc()
	run := func() {
		defer cancel()
		answer := w.manager.config.Runner.Run(ctx, itemID(a.Job, a.Number), &record, a.Item)
		w.manager.adjustLimit(w.manager.config.Timer.Now(), answer.Failure)
		w.handleEvent(func(now time.Time) []Action {
			w.dropCancel(a)
			return w.shard.ItemEnded(now, a.Job, a.Number, answer)
		})
	}
	if err := w.manager.pool.Submit(run); err != nil {
		go run()
	}
}

// park passes an item to Gates; the caller holds w.mu.
func (w *worker) park(a Action) {
	w.manager.config.Gates.Park(*a.Parked, func() {
		w.handleEvent(func(now time.Time) []Action { return w.shard.Unparked(now, a.Job, a.Number) })
	})
}

func (w *worker) dropCancel(a Action) {
	delete(w.cancels[a.Job], a.Number)
	if len(w.cancels[a.Job]) == 0 {
		delete(w.cancels, a.Job)
	}
}

// write commits a checkpoint. If the shard is no longer held, it abandons the
// shard instead.
func (w *worker) write(c *Checkpoint) {
	if !w.held() {
		w.abandon()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	checkpoints.Inc()
	txnResult, err := w.manager.config.Store.Commit(ctx, checkpointTxn(w.shardNumber, w.token, c))
	outcome := Committed
	switch {
	case errors.Is(err, store.ErrUnavailable):
		outcome = Unavailable
	case err != nil || !txnResult.Succeeded:
		outcome = OutcomeUnknown
	}
	if outcome == Committed {
		w.handleEvent(func(now time.Time) []Action { return w.shard.Written(now, outcome, txnResult.Revision) })
		return
	}
	w.manager.config.Timer.After(storeRetryDelay, func(now time.Time) {
		w.handleEvent(func(time.Time) []Action { return w.shard.Written(now, outcome, 0) })
	})
}

// readBack reads the shard's last checkpoint and its holder.
func (w *worker) readBack() {
	if !w.held() {
		w.abandon()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	checkpoint, held, err := readLastCheckpoint(ctx, w.manager.config.Store, w.shardNumber, w.token)
	finish := func(now time.Time) {
		w.handleEvent(func(time.Time) []Action {
			return w.shard.ReadBackDone(now, string(checkpoint.Value), checkpoint.ModRevision, held, err != nil)
		})
	}
	if err == nil {
		finish(w.manager.config.Timer.Now())
		return
	}
	w.manager.config.Timer.After(storeRetryDelay, finish)
}

// remove deletes an ended job from the store.
func (w *worker) remove(record *Record) {
	ctx, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	err := removeJob(ctx, w.manager.config.Store, w.shardNumber, w.token, record)
	if err != nil {
		w.manager.config.Timer.After(storeRetryDelay, func(time.Time) { w.removed(record.ID, false) })
		return
	}
	w.removed(record.ID, true)
}

func (w *worker) removed(id string, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shard.Removed(id, ok)
}
