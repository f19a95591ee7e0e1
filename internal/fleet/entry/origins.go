package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/forward"
	"github.com/kingcupquay/kingcupquay/internal/serving/origin"
)

const (
	// A host writes its record of streams at most once in recordInterval, or less
	// often in a large fleet: all hosts together write one in recordSpacing.
	recordInterval = 200 * time.Millisecond
	recordSpacing  = 10 * time.Millisecond
	// retryPause is the least time between two calls after one that failed.
	retryPause = time.Second
	// readSpacing is the least time between two readings of all records.
	readSpacing = 60 * time.Millisecond
	// findTimeout bounds the search for the origin of a stream: callers soon leave.
	// storeShare is the part of it that the store has to answer, before what other
	// hosts tell is relied on.
	findTimeout = 800 * time.Millisecond
	storeShare  = findTimeout / 2
	// noticeTransit is the longest time that a notice of another host is on its way,
	// noticePoll the interval between checks for new ones.
	noticeTransit = 100 * time.Millisecond
	noticePoll    = 20 * time.Millisecond
	// recordTTL is the age at which a record is deleted by whoever reads it. Its
	// host has been gone for long.
	recordTTL = 10 * time.Minute
	// takeUpMargin is added to the time for which callers wait, since they count it
	// from before the request arrived.
	takeUpMargin = time.Second
	// takeUpPeriod is for how long a stream can be taken up if its caller does not
	// say how long it waits.
	takeUpPeriod = 10 * time.Second
)

var (
	recordsReadTotal    = metrics.NewCounter("kingcupquay_origin_reads_total")
	recordsWrittenTotal = metrics.NewCounter("kingcupquay_origin_writes_total")
	takeUpsTotal        = map[origin.Knowledge]*metrics.Counter{
		origin.Unknown:  metrics.NewCounter(`kingcupquay_origin_take_ups_total{origin="unknown"}`),
		origin.Inferred: metrics.NewCounter(`kingcupquay_origin_take_ups_total{origin="inferred"}`),
		origin.Known:    metrics.NewCounter(`kingcupquay_origin_take_ups_total{origin="known"}`),
	}
)

// origins finds the origins of streams for this host's callers, and keeps the
// host's record of them in the store.
type origins struct {
	host  *Host
	table *origin.Table

	mu sync.Mutex
	// next is the reading that has not begun yet, if any.
	next *reading
	// readMu is held during a reading.
	readMu sync.Mutex
}

// reading is one reading of the records of all hosts, and of the changes of the list
// of servers.
type reading struct {
	done chan struct{}
	// err and serversErr are valid once done is closed.
	err, serversErr error
}

var _ forward.Origins = (*origins)(nil)

func newOrigins(h *Host) *origins {
	return &origins{host: h, table: origin.NewTable(h.timer.Now())}
}

// observe stores which software versions are in service.
func (o *origins) observe() {
	for _, service := range o.host.directory.Services() {
		var versions []string
		for _, s := range o.host.directory.Usable(service) {
			if !slices.Contains(versions, s.SoftwareVersion) {
				versions = append(versions, s.SoftwareVersion)
			}
		}
		slices.Sort(versions)
		o.table.Observe(o.host.timer.Now(), service, versions)
	}
}

// Begin keeps the origin of a call's stream.
func (o *origins) Begin(c *exchange.Call, software string, deadline time.Time) {
	calls := []string{c.ID}
	if c.TakeUp != nil {
		calls = append(calls, c.TakeUp.Attempts...)
	}
	if deadline.IsZero() {
		deadline = c.Received.Add(takeUpPeriod)
	}
	o.table.Begin(o.host.timer.Now(), calls, origin.Stream{Service: c.Service, Software: software}, deadline.Add(takeUpMargin))
}

// Find returns the origin of the stream that a call takes up. If this host does not
// know it, the records of the other hosts are read, twice if it is not recorded yet,
// and the list of servers with them: a version may have come that this host has not
// heard of.
func (o *origins) Find(ctx context.Context, c *exchange.Call) (origin.Stream, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	began := o.host.timer.Now()
	s, knowledge := o.find(c, false)
	reads, current := 0, false
	var err error
	for knowledge == origin.Unknown && reads < 2 && err == nil {
		if reads > 0 && !timer.Pause(o.host.timer, ctx.Done(), o.interval()) {
			break
		}
		current, err = o.read(ctx)
		reads++
		s, knowledge = o.find(c, current)
	}
	if knowledge == origin.Unknown && !current {
		s, knowledge = o.find(c, o.confirmedByOthers(ctx, began))
	}
	takeUpsTotal[knowledge].Inc()
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	o.host.log.Info("origin of a stream", "request", c.ID, "attempts", c.TakeUp.Attempts, "service", s.Service, "software", s.Software,
		"known", knowledge == origin.Known, "reads", reads, "took_ms", o.host.timer.Now().Sub(began).Milliseconds(), "cause", cause)
	return s, knowledge != origin.Unknown
}

// find looks the origin of a call's stream up. current is set if this host's list of
// servers has all that joined before the call came.
func (o *origins) find(c *exchange.Call, current bool) (origin.Stream, origin.Knowledge) {
	return o.table.Find(o.host.timer.Now(), c.TakeUp.Attempts, c.Service, current)
}

// confirmedByOthers reports whether this host's list of servers is as new as those of
// all other hosts at a time, while the store does not answer: each of them was heard
// since, and none has read a change that this host has not.
func (o *origins) confirmedByOthers(ctx context.Context, began time.Time) bool {
	h := o.host
	since := began.Add(noticeTransit)
	for !h.members.HeardAll(since) {
		if !timer.Pause(h.timer, ctx.Done(), noticePoll) {
			return false
		}
	}
	return !h.serverFollower.Behind()
}

// read reads the records of all hosts and the changes of the list of servers, in a
// reading that begins after the call, and reports whether the list is current. Calls
// share readings, so that callers that name unknown streams cause few.
func (o *origins) read(ctx context.Context) (serversCurrent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeShare)
	defer cancel()
	o.mu.Lock()
	r := o.next
	if r == nil {
		r = &reading{done: make(chan struct{})}
		o.next = r
		go o.readOnce(r)
	}
	o.mu.Unlock()
	select {
	case <-r.done:
		return r.err == nil && r.serversErr == nil, r.err
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// readOnce carries out a reading, and then lets readSpacing pass before the next.
func (o *origins) readOnce(r *reading) {
	o.readMu.Lock()
	defer o.readMu.Unlock()
	o.mu.Lock()
	o.next = nil
	o.mu.Unlock()
	recordsReadTotal.Inc()
	servers := make(chan error, 1)
	go func() { servers <- o.host.serverFollower.Refresh(o.host.ctx) }()
	r.err = o.readAll()
	r.serversErr = <-servers
	close(r.done)
	timer.Pause(o.host.timer, o.host.ctx.Done(), readSpacing)
}

// readAll reads the records of all hosts into the table.
func (o *origins) readAll() error {
	h := o.host
	entries, _, err := store.RangeAll(h.ctx, h.adapter.Store, origin.RecordPrefix, 0)
	if err != nil {
		h.log.Info("records of streams not read", "cause", err.Error())
		return err
	}
	wall := time.Now()
	var records []origin.Record
	var own origin.Record
	var old *store.Entry
	for i, e := range entries {
		record, err := origin.DecodeRecord(e.Value)
		if err != nil {
			h.log.Error(err, "record of streams can't be read", "key", e.Key)
			continue
		}
		records = append(records, record)
		if e.Key == origin.RecordKey(h.settings.Name) {
			own = record
		}
		if record.Age(wall) > recordTTL {
			old = &entries[i]
		}
	}
	o.table.Merge(h.timer.Now(), wall, records, own)
	if old != nil {
		o.deleteOld(*old)
	}
	return nil
}

// deleteOld deletes a record unless it has been written again.
func (o *origins) deleteOld(e store.Entry) {
	txn := store.Txn{Compares: []store.Compare{{Key: e.Key, Target: store.ModRevision, Revision: e.ModRevision}}, Deletes: []string{e.Key}}
	if _, err := o.host.adapter.Store.Commit(o.host.ctx, txn); err != nil {
		o.host.log.Info("old record of streams not deleted", "key", e.Key, "cause", err.Error())
	}
}

// interval returns the time between two writes of this host's record.
func (o *origins) interval() time.Duration {
	return max(recordInterval, recordSpacing*time.Duration(1+len(o.host.members.Live())))
}

// run reads the records of the time before this host started, and then writes its
// own whenever it has changed, until the host stops. Nothing is written before the
// record of the host's earlier run was read, which it would replace.
func (o *origins) run() {
	h := o.host
	defer h.wait.Done()
	for {
		o.observe()
		pause := o.interval()
		if err := o.keepRecord(); err != nil {
			pause = max(pause, retryPause)
		}
		if !timer.Pause(h.timer, h.ctx.Done(), pause) {
			return
		}
	}
}

func (o *origins) keepRecord() error {
	if !o.table.Restored() {
		_, err := o.read(o.host.ctx)
		return err
	}
	return o.write()
}

// write writes or deletes this host's record if it has to.
func (o *origins) write() error {
	h := o.host
	record, action := o.table.NextRecord(h.timer.Now(), time.Now())
	var txn store.Txn
	key := origin.RecordKey(h.settings.Name)
	switch action {
	case origin.Leave:
		return nil
	case origin.Write:
		text, err := record.Encode()
		if err != nil {
			h.log.Error(err, "record of streams can't be written")
			return err
		}
		txn.Puts = []store.Put{{Key: key, Value: text}}
	case origin.Delete:
		txn.Deletes = []string{key}
	}
	recordsWrittenTotal.Inc()
	_, err := h.adapter.Store.Commit(h.ctx, txn)
	if err != nil {
		o.table.Failed()
		h.log.Info("record of streams not written", "streams", len(record.Streams), "cause", err.Error())
	}
	return err
}
