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
	writeTimeout = 5 * time.Second
	// writePause is between two tries of a store call.
	writePause = 250 * time.Millisecond
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

// worker carries out the actions of one open shard.
type worker struct {
	m      *Manager
	number int
	token  int64
	// closed is closed when the shard does nothing any more.
	closed chan struct{}

	mu      sync.Mutex
	shard   *Shard
	serial  Ticket
	waiting map[Ticket]chan reply
	// running holds the cancel functions of the items in progress.
	running map[string]map[int]context.CancelFunc
}

// feed gives one event to the shard and carries out what it asks for.
func (w *worker) feed(event func(now time.Time) []Action) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.apply(event(w.m.p.Timer.Now()))
}

func (w *worker) tick(now time.Time) {
	if !w.held() {
		w.abandon()
		return
	}
	w.feed(func(time.Time) []Action { return w.shard.Tick(now) })
}

// held reports whether this host may act on the shard under the same token.
func (w *worker) held() bool {
	token, ok := w.m.p.Tokens.Token(w.number)
	return ok && token == w.token
}

func (w *worker) abandon() {
	w.feed(func(time.Time) []Action { return w.shard.Abandon() })
}

func (w *worker) close() {
	if !w.held() {
		w.abandon()
	}
	w.feed(w.shard.Close)
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

// ask gives a caller's wish to the shard and waits for the reply.
func (w *worker) ask(ctx context.Context, wish func(time.Time, Ticket) []Action) (*Record, *result.Error) {
	answer := make(chan reply, 1)
	w.feed(func(now time.Time) []Action {
		w.serial++
		w.waiting[w.serial] = answer
		return wish(now, w.serial)
	})
	select {
	case r := <-answer:
		return r.record, r.failure
	case <-ctx.Done():
		return nil, result.New(result.StoreUnavailable, "job not confirmed; send it again").WithRetry(time.Second)
	}
}

// apply carries out actions; the caller holds w.mu.
func (w *worker) apply(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case ReadChunk:
			go w.readChunk(a)
		case RunItem:
			w.runItem(a)
		case StopItems:
			for _, cancel := range w.running[a.Job] {
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
			w.m.p.Note("job ended", string(a.Record.State)+" "+a.Record.Cause, a.Job)
		case Closed:
			close(w.closed)
		}
	}
}

func (w *worker) reply(a Action) {
	waiter, ok := w.waiting[a.Ticket]
	if !ok {
		return
	}
	delete(w.waiting, a.Ticket)
	waiter <- reply{record: a.Record, failure: a.Failure}
}

func (w *worker) readChunk(a Action) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	chunksRead.Inc()
	lines, failure := chunk.Read(ctx, w.m.p.Store, chunk.Key(a.File, a.Chunk))
	w.feed(func(now time.Time) []Action { return w.shard.ChunkRead(now, a.Job, a.Chunk, lines, failure) })
}

// runItem starts an item; the caller holds w.mu.
func (w *worker) runItem(a Action) {
	record, ok := w.shard.Get(a.Job)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	if w.running[a.Job] == nil {
		w.running[a.Job] = make(map[int]context.CancelFunc)
	}
	w.running[a.Job][a.Number] = cancel
	itemsStarted.Inc()
	work := func() {
		defer cancel()
		answer := w.m.p.Runner.Run(ctx, itemID(a.Job, a.Number), &record, a.Item)
		w.m.returned(w.m.p.Timer.Now(), answer.Failure)
		w.feed(func(now time.Time) []Action {
			w.forget(a)
			return w.shard.ItemEnded(now, a.Job, a.Number, answer)
		})
	}
	if err := w.m.pool.Submit(work); err != nil {
		go work()
	}
}

// park hands an item to the gates; the caller holds w.mu.
func (w *worker) park(a Action) {
	w.m.p.Gates.Park(*a.Parked, func() {
		w.feed(func(now time.Time) []Action { return w.shard.Unparked(now, a.Job, a.Number) })
	})
}

func (w *worker) forget(a Action) {
	delete(w.running[a.Job], a.Number)
	if len(w.running[a.Job]) == 0 {
		delete(w.running, a.Job)
	}
}

// write commits a checkpoint unless the shard is not held any more.
func (w *worker) write(c *Checkpoint) {
	if !w.held() {
		w.abandon()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	checkpoints.Inc()
	outcome, err := w.m.p.Store.Commit(ctx, txnOf(w.number, w.token, c))
	ended := Committed
	switch {
	case errors.Is(err, store.ErrUnavailable):
		ended = Unavailable
	case err != nil || !outcome.Succeeded:
		ended = OutcomeUnknown
	}
	if ended == Committed {
		w.feed(func(now time.Time) []Action { return w.shard.Written(now, ended, outcome.Revision) })
		return
	}
	w.m.p.Timer.After(writePause, func(now time.Time) {
		w.feed(func(time.Time) []Action { return w.shard.Written(now, ended, 0) })
	})
}

// readBack reads the shard's last checkpoint and its holder.
func (w *worker) readBack() {
	if !w.held() {
		w.abandon()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	last, held, err := readLast(ctx, w.m.p.Store, w.number, w.token)
	done := func(now time.Time) {
		w.feed(func(time.Time) []Action {
			return w.shard.ReadBackDone(now, string(last.Value), last.ModRevision, held, err != nil)
		})
	}
	if err == nil {
		done(w.m.p.Timer.Now())
		return
	}
	w.m.p.Timer.After(writePause, done)
}

// remove deletes an ended job.
func (w *worker) remove(record *Record) {
	ctx, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	err := removeJob(ctx, w.m.p.Store, w.number, w.token, record)
	if err != nil {
		w.m.p.Timer.After(writePause, func(time.Time) { w.removed(record.ID, false) })
		return
	}
	w.removed(record.ID, true)
}

func (w *worker) removed(id string, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shard.Removed(id, ok)
}
