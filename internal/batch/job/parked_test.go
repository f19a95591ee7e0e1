package job_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/job"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/gate"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
	"github.com/kingcupquay/kingcupquay/internal/serving/route"
)

const (
	outageTick       = 50 * time.Millisecond
	outageWindow     = 512
	outageItems      = 10_000
	outageAnswerTime = time.Second
	// outagePeakPeriod is the time after the first item reached an engine in which
	// the peak is measured. Later passes over the input cause bursts of their own.
	outagePeakPeriod = 10 * time.Second
)

// outage simulates one job whose engines are all down at first. Its items wait at
// a gate, or are retried after a backoff. The router is the real one.
type outage struct {
	now    time.Time
	shard  *job.Shard
	store  *fakeStore
	router *route.Router
	// gates is nil if items are retried after a backoff.
	gates         *gate.Set
	itemNumbers   map[uint64]int
	lastProbe     time.Time
	lastID        uint64
	releasedItems map[int]bool
	down          bool
	endTimes      map[time.Time][]int
	backends      map[int]string
	// starts counts the started items, wasted those sent to an engine that was
	// down, and reached those that reached an engine in this tick. peak is the
	// maximum of reached within outagePeakPeriod.
	starts, wasted, reached, peak int
	// unanswered holds the items that were started during the outage and have no
	// answer; lastAnswered is the time at which it became empty.
	unanswered   map[int]bool
	lastAnswered time.Time
	// firstReached is the time at which the first item reached an engine.
	firstReached time.Time
}

func fourEngines() *services.Text {
	document := map[string]any{
		"organisations": []any{services.Organisation{Name: "agency", TokenHashes: []string{strings.Repeat("a", 64)}}},
		"services":      []any{services.Service{Name: "s", Kind: services.EngineKind, Model: "llm", Urgency: "batch", Weight: 1, Idempotent: true}},
	}
	var backends []services.Backend
	for i := range 4 {
		backends = append(backends, services.Backend{
			Name: fmt.Sprintf("e-%d", i), Kind: services.EngineKind, Zone: "a", Address: "127.0.0.1:1", Models: []string{"llm"}, Slots: 64,
		})
	}
	document["backends"] = backends
	source, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	text, err := services.Parse(source, 1)
	if err != nil {
		panic(err)
	}
	return text
}

func newOutage(gates *gate.Set) *outage {
	o := &outage{
		now: time.Unix(1_000_000, 0), shard: job.OpenShard(1, 0, nil), store: newFakeStore(), down: true, gates: gates,
		router: route.NewRouter("a", 7, route.Balanced), itemNumbers: make(map[uint64]int), endTimes: make(map[time.Time][]int),
		backends: make(map[int]string), unanswered: make(map[int]bool),
		releasedItems: make(map[int]bool),
	}
	o.router.SetServices(fourEngines())
	o.run(o.shard.Create(o.now, 1, bigJob(o.now, outageItems)))
	o.shard.SetWindow("big", outageWindow)
	return o
}

func (o *outage) run(actions []job.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a.Kind {
		case job.ReadChunk:
			actions = append(actions, o.shard.ChunkRead(o.now, a.Job, a.Chunk, bigChunk(a.Chunk), nil)...)
		case job.WriteCheckpoint:
			Expect(o.store.commit(1, a.Checkpoint)).To(BeTrue())
			actions = append(actions, o.shard.Written(o.now, job.Committed, o.store.revision)...)
		case job.RunItem:
			o.starts++
			if answer, ended := o.call(a.Number); ended {
				actions = append(actions, o.shard.ItemEnded(o.now, a.Job, a.Number, answer)...)
			}
		case job.Park:
			o.lastID++
			o.itemNumbers[o.lastID] = a.Number
			o.gates.Park(o.now, a.Parked.Started, a.Parked.Gate, gate.Item{ID: o.lastID})
		}
	}
}

// call runs an item as the host's implementation of job.ItemRunner does. It returns
// false if the answer comes later.
func (o *outage) call(n int) (job.RunResult, bool) {
	if o.down {
		o.unanswered[n] = true
	}
	unavailable := job.RunResult{Failure: result.New(result.NoBackend, "down")}
	released := o.releasedItems[n]
	delete(o.releasedItems, n)
	if o.gates != nil && !released && o.gates.Parked("model/llm") > 0 {
		unavailable.Parked = &job.ParkedItem{Gate: "model/llm"}
		return unavailable, true
	}
	b, failure := o.router.Pick(o.now, request.New(request.Options{ID: "i", Service: "s", Model: "llm", Engine: true, Urgency: request.Batch}), nil)
	if failure == nil {
		o.router.RecordSent(o.now, b.Name, request.Batch)
		if !o.down {
			o.reached++
			// Vary the answer times, so that the answers do not arrive in bursts.
			end := o.now.Add(outageAnswerTime/2 + time.Duration(n*7%20)*outageTick)
			o.endTimes[end], o.backends[n] = append(o.endTimes[end], n), b.Name
			return job.RunResult{}, false
		}
		o.wasted++
		o.router.RecordEnd(o.now, b.Name, route.Outcome{Urgency: request.Batch, Failed: true})
	}
	if o.gates != nil && o.router.Health(o.now, "llm", "") != route.Up {
		unavailable.Parked = &job.ParkedItem{Gate: "model/llm", Started: o.now}
	}
	return unavailable, true
}

func (o *outage) tick() {
	o.now = o.now.Add(outageTick)
	o.reached = 0
	for _, n := range o.endTimes[o.now] {
		o.router.RecordEnd(o.now, o.backends[n], route.Outcome{Urgency: request.Batch, Completed: true, ServiceTime: outageAnswerTime})
		if delete(o.unanswered, n); len(o.unanswered) == 0 && o.lastAnswered.IsZero() {
			o.lastAnswered = o.now
		}
		o.run(o.shard.ItemEnded(o.now, "big", n, successAnswer(n)))
	}
	delete(o.endTimes, o.now)
	if o.gates != nil {
		for _, i := range o.dueItems() {
			o.releasedItems[o.itemNumbers[i.ID]] = true
			o.run(o.shard.Unparked(o.now, "big", o.itemNumbers[i.ID]))
		}
	}
	o.run(o.shard.Tick(o.now))
	if o.reached > 0 && o.firstReached.IsZero() {
		o.firstReached = o.now
	}
	if o.now.Sub(o.firstReached) < outagePeakPeriod {
		o.peak = max(o.peak, o.reached)
	}
}

func (o *outage) dueItems() []gate.Item {
	var items []gate.Item
	switch o.router.Health(o.now, "llm", "") {
	case route.Up:
		o.gates.Open(o.now, "model/llm")
	case route.Probing:
		if o.now.Sub(o.lastProbe) >= 250*time.Millisecond {
			o.lastProbe = o.now
			if i, ok := o.gates.Probe(o.now, "model/llm"); ok {
				items = append(items, i)
			}
		}
	}
	return append(items, o.gates.Tick(o.now)...)
}

// outageCosts holds the measurements of an outage of two minutes.
type outageCosts struct {
	starts, wasted, peak int
	// waited is the time from the recovery of the engines to the last answer of an
	// item that was started before it; total is the time to the end of the job.
	waited, total time.Duration
}

func runOutage(gates *gate.Set) outageCosts {
	o := newOutage(gates)
	recovery := o.now.Add(2 * time.Minute)
	for o.now.Before(recovery) {
		o.tick()
	}
	f := outageCosts{starts: o.starts, wasted: o.wasted}
	o.down = false
	for !o.store.records["big"].State.Final() && o.now.Before(recovery.Add(5*time.Minute)) {
		o.tick()
	}
	Expect(o.store.records["big"].Completed).To(Equal(outageItems))
	f.peak, f.waited, f.total = o.peak, o.lastAnswered.Sub(recovery), o.now.Sub(recovery)
	return f
}

var _ = Describe("items whose engines are all down", func() {
	It("wait at a gate with few starts and resume without a burst", func() {
		parked, polled := runOutage(gate.NewSet(gate.DefaultLimits)), runOutage(nil)
		Expect(parked.starts).To(BeNumerically("<", polled.starts/4))
		Expect(parked.wasted).To(BeNumerically("<=", polled.wasted))
		Expect(parked.peak).To(BeNumerically("<", polled.peak))
		Expect(parked.total).To(BeNumerically("<=", polled.total+10*time.Second))
	})
	It("run when they are released, not before", func() {
		o := newOutage(gate.NewSet(gate.Limits{Rate: 1, Burst: 1, RecheckInterval: time.Hour}))
		o.tick()
		waiting := o.gates.Parked("model/llm")
		Expect(waiting).To(BeNumerically(">", 100))
		o.down = false
		before := len(o.endTimes)
		o.run(o.shard.Tick(o.now))
		Expect(o.endTimes).To(HaveLen(before))
		o.run(o.shard.Unparked(o.now, "big", 0))
		o.run(o.shard.Unparked(o.now, "gone", 0))
	})
})

func BenchmarkOutage(b *testing.B) {
	RegisterTestingT(b)
	for _, benchmark := range []struct {
		name  string
		gates *gate.Set
	}{{"gate", gate.NewSet(gate.DefaultLimits)}, {"polling", nil}} {
		b.Run(benchmark.name, func(b *testing.B) {
			var f outageCosts
			for b.Loop() {
				f = runOutage(benchmark.gates)
			}
			b.ReportMetric(float64(f.starts), "starts")
			b.ReportMetric(float64(f.wasted), "wasted")
			b.ReportMetric(float64(f.peak), "peak/tick")
			b.ReportMetric(f.waited.Seconds(), "s-to-last-waiting")
			b.ReportMetric(f.total.Seconds(), "s-to-end")
		})
	}
}
