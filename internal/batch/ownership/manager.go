// Package ownership keeps jobs of opaque items: it accepts them, runs their items
// in the slots that online requests leave, makes results durable and shows them.
//
// Each job has one owner, at first the host that accepted it. What must last
// stands in the platform's store: the record of the job, its items, its results.
// Every change rewrites the record on the condition that it is as the owner last
// wrote it, so an owner that was replaced, however long it was away, can't write
// any more; taking over is no more than rewriting the record. Any host may read
// any job, through its owner or, if that is gone, from the store.
//
// A write whose answer was lost is sent again under the same conditions. Either
// it was not done, and now is; or it was, and the record that is in the way is
// recognised as this process's own.
package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/batch/priority"
	"github.com/kingcupquay/kingcupquay/internal/batch/resultcache"
	"github.com/kingcupquay/kingcupquay/internal/batch/stalled"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

var (
	acceptedTotal = metrics.NewCounter("kingcupquay_jobs_accepted_total")
	refusedTotal  = metrics.NewCounter("kingcupquay_jobs_refused_total")
	listedTotal   = metrics.NewCounter("kingcupquay_jobs_items_listed_total")
	startedTotal  = metrics.NewCounter("kingcupquay_jobs_items_started_total")
	yieldedTotal  = metrics.NewCounter("kingcupquay_jobs_items_yielded_total")
	takenTotal    = metrics.NewCounter("kingcupquay_jobs_taken_over_total")
	lostTotal     = metrics.NewCounter("kingcupquay_jobs_lost_total")
)

// ResultPage is a piece of a job's list of results.
type ResultPage struct {
	Total   int               `json:"total"`
	Next    int               `json:"next"`
	Results []jobstate.Result `json:"results"`
}

// Peers reaches the owner of a job on another host. A failure with LeaseLost
// says that the host does not own the job; NoBackend that it can't be reached.
type Peers interface {
	Results(ctx context.Context, host, id string, after int, wait time.Duration) (ResultPage, *result.Error)
	Body(ctx context.Context, host, id, item string) ([]byte, *result.Error)
	End(ctx context.Context, host, id string) *result.Error
	Adopt(ctx context.Context, host, id string) *result.Error
	// Alive reports whether a host has been heard of lately.
	Alive(host string) bool
	// Dead reports whether the store has no sign of life of a host either.
	Dead(ctx context.Context, host string) bool
	// Live returns the hosts that may take over a job, this one among them.
	Live() []string
}

// Store is what custody needs of the platform's store.
type Store interface {
	store.Store
	store.Staler
}

// Options are the parts that a Manager works with.
type Options struct {
	// Host is this host's name, Writer unique to this process.
	Host            string
	Writer          string
	Timer           timer.Service
	Log             logr.Logger
	Store           Store
	Servers         exchange.Servers
	ServerDirectory *backend.Directory
	Placer          *scheduler.Placer
	Config          *routes.Holder
	Peers           Peers
	// Accepted is told of each job that this host accepts or takes over.
	Accepted func(id string)
	// Ended is told of each job that was ended through this host without its
	// owner's knowledge.
	Ended func(id string)
}

// held is one job that this host owns.
type held struct {
	job *jobstate.Job
	// revision is the store's revision of the record as last written.
	revision int64
	runs     map[int]*run
	// changed is closed and replaced when results are listed or the job ends.
	changed chan struct{}
	// looking says that the record is being read for another host's change, looked
	// is when such a read last began.
	looking bool
	looked  time.Time
	// since is when the oldest unlisted result was finished, zero for none.
	since time.Time
}

// run is one item at a server.
type run struct {
	server backend.Server
	cancel context.CancelFunc
	// left says that the item was told to leave its slot.
	left bool
}

// Manager keeps the jobs of one host. It is safe for concurrent use.
type Manager struct {
	Options

	// writes is held while a record is written, before mu. It guards writeFailed,
	// the writes of results in a row that failed, and writeAt, when the next may be.
	writes      sync.Mutex
	writeFailed int
	writeAt     time.Time

	mu   sync.Mutex
	jobs map[string]*held
	// owners holds what is known of other hosts' jobs.
	owners map[string]string
	quotas map[string]quota
	cold   *resultcache.Cache
	pace   priority.DurationEstimator
	// serial is the highest that this process has given to a change.
	serial   int64
	stopping bool

	// idle and hurried, the scans in a row that were brought forward, are used by
	// the scan only.
	idle    *stalled.Tracker
	hurried int

	kick chan struct{}
	// search makes the scan begin at once.
	search chan struct{}
	done   chan struct{}
	wait   sync.WaitGroup
	stop   context.CancelFunc
	ctx    context.Context
}

// New returns a manager that does nothing until Start.
func New(o Options) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		Options: o, jobs: make(map[string]*held), owners: make(map[string]string), quotas: make(map[string]quota),
		cold: resultcache.New(), idle: stalled.New(), kick: make(chan struct{}, 1), search: make(chan struct{}, 1), done: make(chan struct{}), ctx: ctx, stop: cancel,
	}
}

const (
	// scheduleEvery bounds the time between two looks at slots; most looks are
	// caused by an end or by another host's report.
	scheduleEvery = 20 * time.Millisecond
	// flushEvery is the time between two looks at unlisted results.
	flushEvery = 100 * time.Millisecond
	// scanEvery is the time between two looks at the records of all jobs.
	scanEvery = 2 * time.Second
)

// Start begins to run jobs, those that this host owned before among them.
func (m *Manager) Start() {
	loops := []struct {
		every time.Duration
		kick  <-chan struct{}
		work  func()
	}{
		{scheduleEvery, m.kick, m.schedule},
		{flushEvery, nil, m.flush},
		{scanEvery, m.search, m.scan},
	}
	m.wait.Add(1 + len(loops))
	go func() {
		defer m.wait.Done()
		m.adoptOwn()
	}()
	for _, l := range loops {
		go m.loop(l.every, l.kick, l.work)
	}
}

// loop calls work once a period of the timer, and at a kick, until the end.
func (m *Manager) loop(every time.Duration, kick <-chan struct{}, work func()) {
	defer m.wait.Done()
	ticks, sub := timer.Ticks(m.Timer, every)
	defer sub.Cancel()
	for {
		select {
		case <-m.done:
			return
		case <-ticks:
		case <-kick:
		}
		work()
	}
}

// TriggerSchedule makes the manager look at the slots soon.
func (m *Manager) TriggerSchedule() { wake(m.kick) }

// TriggerScan makes the manager look for jobs without an owner soon.
func (m *Manager) TriggerScan() { wake(m.search) }

func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// LearnOwner takes another host's word that it owns jobs. One that this host
// believes to be its own is looked up.
func (m *Manager) LearnOwner(host string, ids []string) {
	var claimed []string
	m.mu.Lock()
	for _, id := range ids {
		if _, own := m.jobs[id]; own {
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

// OwnedJobs returns the jobs that this host owns and that have work left.
func (m *Manager) OwnedJobs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for id, h := range m.jobs {
		if !h.job.Complete() {
			ids = append(ids, id)
		}
	}
	return ids
}

// LearnEnded takes another host's word that jobs were ended.
func (m *Manager) LearnEnded(ids []string) {
	for _, id := range ids {
		m.refresh(id)
	}
}

// Stop gives the jobs away and ends all runs. Only the first call does anything.
func (m *Manager) Stop(ctx context.Context) {
	m.mu.Lock()
	stopping := m.stopping
	m.stopping = true
	m.mu.Unlock()
	if stopping {
		return
	}
	m.end()
	m.flush()
	m.release(ctx)
}

// Kill ends all runs and gives nothing away, as when the process is killed.
func (m *Manager) Kill() {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.end()
}

func (m *Manager) end() {
	close(m.done)
	m.stop()
	m.wait.Wait()
}

// hold takes a job into custody unless it is already: a hand-in whose answer was
// lost may meet the scan that found its record. The caller holds m.mu.
func (m *Manager) hold(job *jobstate.Job, revision int64) bool {
	id := job.Record().ID
	if _, own := m.jobs[id]; own {
		return false
	}
	m.jobs[id] = &held{job: job, revision: revision, runs: make(map[int]*run), changed: make(chan struct{})}
	delete(m.owners, id)
	return true
}

func (h *held) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}
