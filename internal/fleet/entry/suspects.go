package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/suspect"
)

// suspectsFleet connects the guard against crashing parts to the other hosts.
type suspectsFleet Host

var _ suspect.Fleet = (*suspectsFleet)(nil)

// IsTrialHost reports whether rendezvous hashing over the live hosts, or in a
// large fleet over the relays, assigns the part to this host.
func (f *suspectsFleet) IsTrialHost(part string) bool {
	var hosts []string
	if f.members.LargeFleet() {
		hosts = f.members.AllRelays(f.timer.Now())
	} else {
		hosts = []string{f.settings.Name}
		for _, m := range f.members.Live() {
			hosts = append(hosts, m.Host)
		}
	}
	return rendezvous.First(hosts, part) == f.settings.Name
}

// ShareSoon sends the records with the next messages, which are due at once.
func (f *suspectsFleet) ShareSoon() {
	h := (*Host)(f)
	h.sendNoticeSoon()
	h.passOn()
}

const (
	// claimTimeout bounds the claim of a trial, whose request waits for it.
	claimTimeout = 500 * time.Millisecond
	// maxClaimAttempts is how often a claim is tried if other hosts write meanwhile.
	maxClaimAttempts = 3
)

// ClaimTrial claims a trial by a conditional write of the records. One whose outcome is
// unknown counts as claimed by another host when it is tried again.
func (f *suspectsFleet) ClaimTrial(ctx context.Context, trial suspect.Record) error {
	h := (*Host)(f)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		stored, revision, err := h.readSuspects(ctx)
		if err != nil {
			return err
		}
		kept, err := h.suspects.Claim(stored, trial)
		if err != nil || kept == nil {
			return err
		}
		if err = h.writeSuspects(ctx, kept, revision); !errors.Is(err, errKeptChanged) || attempt == maxClaimAttempts {
			return err
		}
	}
}

// KeepSoon has the records written to the store.
func (f *suspectsFleet) KeepSoon() { (*Host)(f).suspectsKeeper.trigger() }

// LearnSoon has the records read that the store keeps.
func (f *suspectsFleet) LearnSoon() { (*Host)(f).suspectsKeeper.triggerLearn() }

const (
	// keepDelay is the time for which changes of kept records are gathered.
	keepDelay = 50 * time.Millisecond
	// learnInterval is the least time between two reads of the records only.
	learnInterval = 500 * time.Millisecond
	// keepRetry is the pause after a failure, or after another host has written the
	// records meanwhile. It doubles with each further one up to maxKeepRetry.
	keepRetry    = time.Second
	maxKeepRetry = 8 * time.Second
)

// suspectsKeeper keeps the records of parts that crash servers in the store, so that
// they outlive the hosts' memories.
type suspectsKeeper struct {
	host *Host
	// due and learnDue have room for one request to write the records, and to read
	// them only.
	due, learnDue chan struct{}

	mu sync.Mutex
	// learning is set while a read is planned for learnAt, which is else when the last
	// one was due; both are protected by mu.
	learning bool
	learnAt  time.Time
}

func newSuspectsKeeper(h *Host) *suspectsKeeper {
	k := &suspectsKeeper{host: h, due: make(chan struct{}, 1), learnDue: make(chan struct{}, 1)}
	// What was kept before the host started is read first.
	k.trigger()
	return k
}

func (k *suspectsKeeper) trigger() { request(k.due) }

// triggerLearn requests a read, at most one in each learnInterval.
func (k *suspectsKeeper) triggerLearn() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.learning {
		return
	}
	k.learning = true
	now := k.host.timer.Now()
	k.learnAt = maxTime(now, k.learnAt.Add(learnInterval))
	k.host.timer.After(k.learnAt.Sub(now), func(time.Time) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.learning = false
		request(k.learnDue)
	})
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// request leaves a request in a channel that has room for one.
func request(due chan<- struct{}) {
	select {
	case due <- struct{}{}:
	default:
	}
}

// run reads and writes the records whenever that is due, until the host stops.
func (k *suspectsKeeper) run() {
	h := k.host
	defer h.wait.Done()
	for retry := keepRetry; ; {
		select {
		case <-h.ctx.Done():
			return
		case <-k.learnDue:
			if err := k.learn(); err != nil {
				h.log.Info("records of crashing parts not read", "cause", err.Error())
			}
			continue
		case <-k.due:
		}
		pause := keepDelay
		if err := k.keep(); err != nil {
			h.log.Info("records of crashing parts not kept", "cause", err.Error())
			k.trigger()
			pause, retry = retry, min(maxKeepRetry, retry*2)
		} else {
			retry = keepRetry
		}
		if !timer.Pause(h.timer, h.ctx.Done(), pause) {
			return
		}
	}
}

// errKeptChanged means that another host wrote the records in between.
var errKeptChanged = errors.New("another host wrote them at the same time")

// learn merges the records of the store, which may be some seconds old, into the
// host's. It costs a tenth of other reads.
func (k *suspectsKeeper) learn() error {
	entries, err := k.host.adapter.Store.RangeStale(k.host.ctx, suspect.KeptKey)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		stored, err := suspect.DecodeKept(time.Now(), entry.Value)
		if err != nil {
			return err
		}
		k.host.suspects.MergeKept(stored)
	}
	return nil
}

// keep merges the records of the store into the host's and writes the union if it
// differs.
func (k *suspectsKeeper) keep() error {
	h := k.host
	stored, revision, err := h.readSuspects(h.ctx)
	if err != nil {
		return err
	}
	h.suspects.MergeKept(stored)
	kept := h.suspects.Kept()
	if suspect.SameReports(kept, stored) {
		return nil
	}
	return h.writeSuspects(h.ctx, kept, revision)
}

// readSuspects returns the records that the store keeps, and the revision of their key.
func (h *Host) readSuspects(ctx context.Context) ([]suspect.Report, int64, error) {
	entry, found, err := h.adapter.Store.Get(ctx, suspect.KeptKey)
	if err != nil || !found {
		return nil, 0, err
	}
	stored, err := suspect.DecodeKept(time.Now(), entry.Value)
	if err != nil {
		// They are replaced, as nothing else would ever remove them.
		h.log.Error(err, "records of crashing parts can't be read", "key", suspect.KeptKey)
	}
	return stored, entry.ModRevision, nil
}

// writeSuspects has the store keep records in place of those of a revision.
func (h *Host) writeSuspects(ctx context.Context, kept []suspect.Report, revision int64) error {
	text, err := suspect.EncodeKept(time.Now(), kept)
	if err != nil {
		return err
	}
	result, err := h.adapter.Store.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: suspect.KeptKey, Target: store.ModRevision, Revision: revision}},
		Puts:     []store.Put{{Key: suspect.KeptKey, Value: text}},
	})
	if err != nil {
		return err
	}
	if !result.Succeeded {
		return errKeptChanged
	}
	h.log.Info("records of crashing parts kept", "records", len(kept), "revision", result.Revision)
	return nil
}

// suspectBody is the JSON form of a suspect.Record for operators.
type suspectBody struct {
	Part      string    `json:"part"`
	Condemned bool      `json:"condemned"`
	Servers   []string  `json:"servers"`
	Trials    int       `json:"trials"`
	Until     time.Time `json:"until"`
}

// handleSuspects lists the accused parts.
func (h *Host) handleSuspects(w http.ResponseWriter, _ *http.Request) {
	bodies := []suspectBody{}
	for _, r := range h.suspects.Accused() {
		bodies = append(bodies, suspectBody{Part: r.Part, Condemned: r.Condemned(), Servers: r.Servers, Trials: r.Trials, Until: r.ExpiresAt})
	}
	text, err := json.Marshal(bodies)
	if err != nil {
		writeFailure(w, result.New(result.Internal, "%v", err))
		return
	}
	writeBody(w, text)
}

// handleWithdraw ends the accusation of a part at all hosts.
func (h *Host) handleWithdraw(w http.ResponseWriter, r *http.Request) {
	if !h.suspects.Withdraw(r.PathValue("part")) {
		writeFailure(w, result.New(result.NotFound, "part %.64q is not accused", r.PathValue("part")))
	}
}
