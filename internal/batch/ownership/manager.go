// Package ownership manages batch jobs, whose items are opaque to it: it accepts
// jobs, runs their items in the slots that online requests leave free, stores
// the results durably and serves them to readers.
//
// Each job has one owner, at first the host that accepted it. The job's record,
// its items and its results are kept in the platform's store. Every change is a
// compare-and-swap of the record, conditional on the revision that the owner
// last wrote. An owner that was replaced can therefore no longer write, however
// long it was away, and taking a job over only requires rewriting its record.
// Any host can serve any job: through its owner or, if the owner is gone, from
// the store.
//
// An owner need not learn at once that it was replaced. Only for a while after a
// call to the store that proved the record does it send items and answer that a
// position holds no result yet (see package claim); a new owner lists no result
// before the proofs of the former one have ended.
//
// A result is listed once it is durable. Only listed results are served, and
// their positions in the list never change.
//
// A write whose reply was lost is sent again under the same conditions. Either
// it had not taken effect and now does, or the conflicting record is recognised
// as this process's own by its writer and serial.
package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/kingcupquay/kingcupquay/internal/batch/claim"
	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/batch/priority"
	"github.com/kingcupquay/kingcupquay/internal/batch/resultcache"
	"github.com/kingcupquay/kingcupquay/internal/batch/stalled"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/logging"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/expectation"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
	"github.com/kingcupquay/kingcupquay/internal/serving/suspect"
)

var (
	acceptedTotal  = metrics.NewCounter("kingcupquay_jobs_accepted_total")
	refusedTotal   = metrics.NewCounter("kingcupquay_jobs_refused_total")
	listedTotal    = metrics.NewCounter("kingcupquay_jobs_items_listed_total")
	restartedTotal = metrics.NewCounter("kingcupquay_jobs_items_restarted_total")
	startedTotal   = metrics.NewCounter("kingcupquay_jobs_items_started_total")
	preemptedTotal = metrics.NewCounter("kingcupquay_jobs_items_yielded_total")
	checkedTotal   = metrics.NewCounter("kingcupquay_jobs_records_checked_total")
	takenOverTotal = metrics.NewCounter("kingcupquay_jobs_taken_over_total")
	lostTotal      = metrics.NewCounter("kingcupquay_jobs_lost_total")
)

// ResultPage is one page of a job's result list. Next is the position after its
// last result.
type ResultPage struct {
	Total   int               `json:"total"`
	Next    int               `json:"next"`
	Results []jobstate.Result `json:"results"`
	// Confirmed is set if no result was listed at Next when the page was read. Hosts
	// of earlier builds don't set it; their lists may end too early.
	Confirmed bool `json:"confirmed,omitempty"`
	// KnownAfterMS is how long after a host received the question, in milliseconds, it
	// knew that no result was listed at Next. Hosts of earlier builds don't set it.
	KnownAfterMS int64 `json:"known_after_ms,omitempty"`
	// knownAt is the same time by the uptime of the host that holds the page, source where
	// it knew that from.
	knownAt time.Duration
	source  source
}

// Peers sends requests about a job to its owner on another host, and reports
// which hosts are gone. The result code LeaseLost means that the host does not
// own the job, NoBackend that it can't be reached.
type Peers interface {
	Results(ctx context.Context, host, id string, after int, wait time.Duration) (ResultPage, *result.Error)
	Body(ctx context.Context, host, id, item string) ([]byte, *result.Error)
	End(ctx context.Context, host, id string) *result.Error
	Adopt(ctx context.Context, host, id string) *result.Error
	// Kept returns nil if the host knows that a job is certain to be kept.
	Kept(ctx context.Context, host, id string) *result.Error
	// Alive reports whether notices of a host have been received recently.
	Alive(host string) bool
	// Dead returns those of the hosts that are confirmed to be gone: the process has
	// ended, or the leased key is missing from the store. Its calls to the store don't
	// grow with the number of hosts.
	Dead(ctx context.Context, hosts []string) []string
	// CutOff reports whether a host, which may be this one, has told that it is cut
	// off from all backend servers.
	CutOff(host string) bool
	// Live returns the hosts that may take over a job, including this one.
	Live() []string
	// Scanners returns the hosts that may scan for jobs whose owner is gone.
	Scanners() []string
}

// Store is the part of the platform's store that a Manager uses.
type Store interface {
	store.Store
	store.StaleReader
}

// Options holds the dependencies of a Manager.
type Options struct {
	// Host is this host's name, Writer an identifier unique to this process.
	Host    string
	Writer  string
	Timer   timer.Service
	Log     logr.Logger
	Store   Store
	Servers Servers
	Crashes Crashes
	// PromptParts returns the shared parts and the last part of the prompt of an item with
	// header fields; nil if items list none.
	PromptParts func([]exchange.Field) (shared []string, last string)
	// Expectation returns what an item with header fields expects of its server, "" if
	// nothing; nil if items expect nothing.
	Expectation     func([]exchange.Field) string
	ServerDirectory *backend.Directory
	Placer          *scheduler.Placer
	Config          *routes.Holder
	Peers           Peers
	// EndWithin is the time after the acknowledgement of a job's end in which its
	// items may still reach a server.
	EndWithin time.Duration
	// MaxItemBytes is the memory that the items of this host's jobs may take for it to
	// accept a further one; 0 for no limit.
	MaxItemBytes int64
	// Accepted is called for each job that this host accepts or takes over.
	Accepted func(id string)
	// Ended is called for each job that this host ended in the store instead of
	// through its owner.
	Ended func(id string)
}

// Servers are the backend servers; crash.Detector implements it.
type Servers interface {
	exchange.MonitoredServers
	// Watch looks for later evidence that a server which has lost a connection has
	// crashed, and has it recorded with the Crashes.
	Watch(s backend.Server)
}

// Crashes is what all hosts together know of the items under whose runs servers
// crashed; suspect.Guard implements it.
type Crashes interface {
	// Alive reports that a start of a server has answered an item that was sent at a
	// time.
	Alive(start string, sentAt time.Time)
	// Sent reports that an item is being sent to a start of a server, Gone that its run
	// ended, and Answering how many events the run has brought in all.
	Sent(c *exchange.Call, start string) *suspect.Run
	Gone(r *suspect.Run)
	Answering(c *exchange.Call, r *suspect.Run, events int)
	// ItemLost remembers a run of an item that was sent at a time and ended with its
	// connection to a start of a server after so many events.
	ItemLost(job string, c *exchange.Call, start string, sentAt time.Time, events int)
	// Ended records that a start of a server has ended, and with it what was lost.
	Ended(start string)
	// ItemDone records that an item has been answered, whole by one server or not.
	ItemDone(job string, c *exchange.Call, whole bool)
	// CondemnedParts returns when the next item with each part of prompts may run that
	// is known to crash servers.
	CondemnedParts() map[string]time.Time
	// RestingItems returns when each item that rests after crashes may run again, by
	// its suspect.ItemName.
	RestingItems() map[string]time.Time
}

// ownedJob is a job that this host owns, with its runs.
type ownedJob struct {
	job *jobstate.Job
	// itemBytes is the memory of its items.
	itemBytes int64
	// revision is the store's revision of the record as last written.
	revision int64
	runs     map[int]*run
	// preemptions counts the preemptions of each item by this host.
	preemptions map[int]int
	// changed is closed and replaced when results are listed, the job ends or this
	// host stops owning it.
	changed chan struct{}
	// claim is what this host knows of the record, and for how long it may act on it.
	claim *claim.Claim
	// unprovedUntil is until when items may be sent without a proof of the record.
	unprovedUntil time.Duration
	// rejected says whether the store never takes what was last written of the job.
	rejected rejection
	// ending counts the calls that end the job; no item starts meanwhile.
	ending int
	// heldUntil is until when no item starts, since the record did not allow it.
	heldUntil time.Time
	// checking is the read of the record in progress that runs and readers wait for; it
	// is nil if there is none.
	checking *recordCheck
	// refreshing is set while the record is read to detect a change by another
	// host; refreshedAt is when such a read last began.
	refreshing  bool
	refreshedAt time.Time
	// unlistedSince is the time from which the flush delay of unlisted results
	// counts, zero if there are none.
	unlistedSince time.Time
	// closedAt is when the job was first seen complete, zero if it was not.
	closedAt time.Time
	// routes caches the routes of the items' paths in the configuration routesOf, nil
	// for a path without one.
	routes   map[string]*routes.Route
	routesOf *routes.Config
}

// run is one run of an item on a server.
type run struct {
	server backend.Server
	cancel context.CancelFunc
	// cancelled is set when the run was preempted, or cancelled because its job
	// ends or this host no longer owns it; cut is why.
	cancelled bool
	cut       cutCause
}

// Manager runs the jobs that one host owns and serves the results of all jobs.
// It is safe for concurrent use.
type Manager struct {
	Options

	// writeMu is held while the record of an owned job is rewritten or a job is
	// taken over. It is locked before mu. It guards writeFailures, the number of
	// consecutive failed flushes, nextWrite, the earliest time of the next, and
	// cutOff.
	writeMu       sync.Mutex
	writeFailures int
	nextWrite     time.Time
	cutOff        cutOffTimer

	mu   sync.Mutex
	jobs map[string]*ownedJob
	// owners maps jobs of other hosts to their last known owners.
	owners map[string]string
	// keptUntil maps jobs to the time, by Timer.Uptime, until when they are certain to
	// be kept in the store; see noteOpen.
	keptUntil map[string]time.Duration
	quotas    map[quotaName]quotaUsage
	// unmet holds which servers did not meet what items expect.
	unmet expectation.Table
	// unreadSince is when the first check of a record began that failed since the
	// last one that did not, and unreadAt when the last failed one did, by
	// Timer.Uptime; they are zero if none failed.
	unreadSince, unreadAt time.Duration
	// unreadUntil is until when readers are refused, and items sent or held, as after
	// the last check that failed, without another one.
	unreadUntil time.Duration
	// checks is the number of checks in progress.
	checks int
	// backlogged holds the services with a backlog at the placer.
	backlogged  map[string]bool
	resultCache *resultcache.Cache
	estimator   priority.DurationEstimator
	// plans holds what is measured and expected of each service.
	plans map[string]*servicePlan
	// cuts counts the runs that were cut by their causes.
	cuts map[cutCause]*cutCounter
	// toldLines limits the lines of answers that were told.
	toldLines *logging.LineLimit
	// lastSerial is the highest serial of a change by this process.
	lastSerial int64
	stopping   bool
	// handedOver is set once this host begins to hand its jobs over. No job becomes its
	// own any more: the write that names the heir may take effect late.
	handedOver bool

	// stalledJobs, earlyScans, the number of consecutive early scans, and closedAt,
	// the complete jobs in the store that were seen, are only used by scan.
	stalledJobs *stalled.Tracker
	earlyScans  int
	closedAt    map[string]closedJob

	// trigger requests a scheduling pass and scanTrigger a scan, without waiting
	// for the next tick. wakeFlush starts the checks for unlisted results, which
	// are made only while this host owns an incomplete job.
	trigger     chan struct{}
	scanTrigger chan struct{}
	wakeFlush   chan struct{}
	done        chan struct{}
	wg          sync.WaitGroup
	cancelCtx   context.CancelFunc
	ctx         context.Context
}

// New returns a manager that does nothing until Start.
func New(o Options) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		Options: o, jobs: make(map[string]*ownedJob), owners: make(map[string]string), keptUntil: make(map[string]time.Duration),
		quotas: make(map[quotaName]quotaUsage), backlogged: make(map[string]bool), cuts: make(map[cutCause]*cutCounter),
		plans:       make(map[string]*servicePlan),
		resultCache: resultcache.New(), toldLines: logging.NewLineLimit(maxToldLines), stalledJobs: stalled.New(), closedAt: make(map[string]closedJob),
		trigger: make(chan struct{}, 1), scanTrigger: make(chan struct{}, 1), wakeFlush: make(chan struct{}, 1), done: make(chan struct{}),
		ctx: ctx, cancelCtx: cancel,
	}
}

const (
	// scheduleInterval bounds the time between two scheduling passes; most passes
	// are triggered by the end of a run or by another host's report.
	scheduleInterval = 20 * time.Millisecond
	// flushInterval is the time between two checks for unlisted results.
	flushInterval = 100 * time.Millisecond
	// scanInterval is the time between two scans of the records of all jobs.
	scanInterval = 2 * time.Second
)

// Start starts running jobs, including those that this host owned before it was
// restarted.
func (m *Manager) Start() {
	always := func() bool { return true }
	loops := []struct {
		interval time.Duration
		trigger  <-chan struct{}
		busy     func() bool
		work     func()
	}{
		{scheduleInterval, m.trigger, m.busy, m.schedule},
		{flushInterval, m.wakeFlush, m.busy, func() { m.flush(); m.evacuate() }},
		{scanInterval, m.scanTrigger, always, m.scan},
		{sampleInterval, nil, always, m.sampleCapacity},
	}
	m.wg.Add(1 + len(loops))
	go func() {
		defer m.wg.Done()
		m.reclaimOwned()
	}()
	for _, l := range loops {
		go m.loop(l.interval, l.trigger, l.busy, l.work)
	}
}

// busy reports whether this host owns an incomplete job.
func (m *Manager) busy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, j := range m.jobs {
		if !j.job.Complete() {
			return true
		}
	}
	return false
}

// loop calls work on each trigger and, while busy returns true, once per interval,
// until shutdown.
func (m *Manager) loop(interval time.Duration, trigger <-chan struct{}, busy func() bool, work func()) {
	defer m.wg.Done()
	for {
		var elapsed chan struct{}
		var sub *timer.Subscription
		if busy() {
			elapsed = make(chan struct{})
			sub = m.Timer.After(interval, func(time.Time) { close(elapsed) })
		}
		select {
		case <-m.done:
			sub.Cancel()
			return
		case <-elapsed:
		case <-trigger:
			sub.Cancel()
		}
		work()
	}
}

// TriggerSchedule triggers a scheduling pass without waiting for it.
func (m *Manager) TriggerSchedule() { signal(m.trigger) }

// TriggerScan triggers a scan for jobs whose owner is gone, without waiting for
// it.
func (m *Manager) TriggerScan() { signal(m.scanTrigger) }

// signal sends on c unless a signal is already pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// LearnOwner handles another host's notice that it owns jobs. If this host also
// regards a job as its own, it checks the job's record in the store.
func (m *Manager) LearnOwner(host string, ids []string) {
	var claimed []string
	m.mu.Lock()
	for _, id := range ids {
		if j, owned := m.jobs[id]; owned {
			j.claim.Withdraw()
			claimed = append(claimed, id)
		} else {
			m.owners[id] = host
		}
	}
	m.mu.Unlock()
	for _, id := range claimed {
		m.refresh(id)
	}
}

// OwnedJobs returns the IDs of the incomplete jobs that this host owns.
func (m *Manager) OwnedJobs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for id, j := range m.jobs {
		if !j.job.Complete() {
			ids = append(ids, id)
		}
	}
	return ids
}

// LearnEnded handles another host's notice that jobs were ended: it checks the
// records of those that this host owns.
func (m *Manager) LearnEnded(ids []string) {
	m.mu.Lock()
	for _, id := range ids {
		if j, owned := m.jobs[id]; owned {
			j.claim.Dispute(m.Timer.Uptime())
			j.unprovedUntil = 0
		}
	}
	m.mu.Unlock()
	for _, id := range ids {
		m.refresh(id)
	}
}

// Stop cancels all runs, writes finished results and hands the open jobs over to
// other hosts. Only the first call has an effect.
func (m *Manager) Stop(ctx context.Context) {
	m.mu.Lock()
	stopping := m.stopping
	m.stopping = true
	m.mu.Unlock()
	if stopping {
		return
	}
	m.shutdown()
	m.flush()
	m.handOver(ctx)
}

// Kill cancels all runs without writing results or handing jobs over, as if the
// process had been killed.
func (m *Manager) Kill() {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.shutdown()
}

func (m *Manager) shutdown() {
	close(m.done)
	m.cancelCtx()
	m.wg.Wait()
}

// addOwned adds a job to those that this host owns and reports whether it did. The
// job may be present already: after an acceptance whose reply was lost, a scan may
// find the record first. None is added once the jobs were handed over. The caller
// holds m.mu.
func (m *Manager) addOwned(job *jobstate.Job, revision int64, c *claim.Claim) bool {
	id := job.Record().ID
	if _, owned := m.jobs[id]; owned || m.handedOver {
		return false
	}
	m.jobs[id] = &ownedJob{
		job: job, itemBytes: itemBytes(job.Items()), revision: revision, claim: c, runs: make(map[int]*run), preemptions: make(map[int]int), changed: make(chan struct{}),
	}
	delete(m.owners, id)
	signal(m.wakeFlush)
	return true
}

// owns reports whether a job is this host's as far as it knows: it was neither dropped
// nor handed over to an heir. The caller holds m.mu.
func (m *Manager) owns(j *ownedJob) bool {
	r := j.job.Record()
	return m.jobs[r.ID] == j && r.Owner == m.Host
}

// noteUnlisted starts the flush delay of results that are not listed yet, unless it
// runs already.
func (j *ownedJob) noteUnlisted(now time.Time) {
	if j.unlistedSince.IsZero() {
		j.unlistedSince = now
	}
}

// notify wakes the readers that wait for results.
func (j *ownedJob) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}
