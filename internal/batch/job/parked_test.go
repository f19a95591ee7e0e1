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
	outageTick   = 50 * time.Millisecond
	outageWindow = 512
	outageItems  = 10_000
	outageAnswer = time.Second
	// outageOpening is how long after the first answer was begun the peak counts;
	// later passes over the input have bursts of their own.
	outageOpening = 10 * time.Second
)

// outage runs one job while all engines are down, with items that wait at a
// gate or that are tried again by time. The router is the real one.
type outage struct {
	now    time.Time
	shard  *job.Shard
	store  *durable
	router *route.Router
	// gates is nil for tries by time.
	gates    *gate.Set
	numbers  map[uint64]int
	probed   time.Time
	serial   uint64
	passes   map[int]bool
	down     bool
	ends     map[time.Time][]int
	backends map[int]string
	// starts counts items handed out, wasted those that met a down engine, peak
	// the most that reached an engine in one tick while it opens.
	starts, wasted, reached, peak int
	// left are the items that were handed out during the outage and have no
	// answer, last is when there are none any more.
	left map[int]bool
	last time.Time
	// opened is when the first item reached an engine.
	opened time.Time
}

func fourEngines() *services.Text {
	doc := map[string]any{
		"organisations": []any{services.Organisation{Name: "agency", TokenHashes: []string{strings.Repeat("a", 64)}}},
		"services":      []any{services.Service{Name: "s", Kind: services.EngineKind, Model: "llm", Urgency: "batch", Weight: 1, Idempotent: true}},
	}
	var list []services.Backend
	for i := range 4 {
		list = append(list, services.Backend{
			Name: fmt.Sprintf("e-%d", i), Kind: services.EngineKind, Zone: "a", Address: "127.0.0.1:1", Models: []string{"llm"}, Slots: 64,
		})
	}
	doc["backends"] = list
	source, err := json.Marshal(doc)
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
		now: time.Unix(1_000_000, 0), shard: job.OpenShard(1, 0, nil), store: newDurable(), down: true, gates: gates,
		router: route.NewRouter("a", 7, route.Balanced), numbers: make(map[uint64]int), ends: make(map[time.Time][]int),
		backends: make(map[int]string), left: make(map[int]bool),
		passes: make(map[int]bool),
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
			o.serial++
			o.numbers[o.serial] = a.Number
			o.gates.Park(o.now, a.Parked.Started, a.Parked.Gate, gate.Item{ID: o.serial})
		}
	}
}

// call does what the host's caller of items does.
func (o *outage) call(n int) (job.RunResult, bool) {
	if o.down {
		o.left[n] = true
	}
	absent := job.RunResult{Failure: result.New(result.NoBackend, "down")}
	pass := o.passes[n]
	delete(o.passes, n)
	if o.gates != nil && !pass && o.gates.Parked("model/llm") > 0 {
		absent.Parked = &job.ParkedItem{Gate: "model/llm"}
		return absent, true
	}
	b, failure := o.router.Pick(o.now, request.New(request.Options{ID: "i", Service: "s", Model: "llm", Engine: true, Urgency: request.Batch}), nil)
	if failure == nil {
		o.router.RecordSent(o.now, b.Name, request.Batch)
		if !o.down {
			o.reached++
			// Answers of different lengths, so that no two ticks are in step.
			at := o.now.Add(outageAnswer/2 + time.Duration(n*7%20)*outageTick)
			o.ends[at], o.backends[n] = append(o.ends[at], n), b.Name
			return job.RunResult{}, false
		}
		o.wasted++
		o.router.RecordEnd(o.now, b.Name, route.Outcome{Urgency: request.Batch, Failed: true})
	}
	if o.gates != nil && o.router.Health(o.now, "llm", "") != route.Up {
		absent.Parked = &job.ParkedItem{Gate: "model/llm", Started: o.now}
	}
	return absent, true
}

func (o *outage) tick() {
	o.now = o.now.Add(outageTick)
	o.reached = 0
	for _, n := range o.ends[o.now] {
		o.router.RecordEnd(o.now, o.backends[n], route.Outcome{Urgency: request.Batch, Completed: true, ServiceTime: outageAnswer})
		if delete(o.left, n); len(o.left) == 0 && o.last.IsZero() {
			o.last = o.now
		}
		o.run(o.shard.ItemEnded(o.now, "big", n, answered(n)))
	}
	delete(o.ends, o.now)
	if o.gates != nil {
		for _, i := range o.released() {
			o.passes[o.numbers[i.ID]] = true
			o.run(o.shard.Unparked(o.now, "big", o.numbers[i.ID]))
		}
	}
	o.run(o.shard.Tick(o.now))
	if o.reached > 0 && o.opened.IsZero() {
		o.opened = o.now
	}
	if o.now.Sub(o.opened) < outageOpening {
		o.peak = max(o.peak, o.reached)
	}
}

func (o *outage) released() []gate.Item {
	var items []gate.Item
	switch o.router.Health(o.now, "llm", "") {
	case route.Up:
		o.gates.Open(o.now, "model/llm")
	case route.Probing:
		if o.now.Sub(o.probed) >= 250*time.Millisecond {
			o.probed = o.now
			if i, ok := o.gates.Probe(o.now, "model/llm"); ok {
				items = append(items, i)
			}
		}
	}
	return append(items, o.gates.Tick(o.now)...)
}

// figures are what an outage of two minutes costs.
type figures struct {
	starts, wasted, peak int
	// waited is from the engines' return to the last answer of an item that was
	// handed out before it, whole to the job's end.
	waited, whole time.Duration
}

func measure(gates *gate.Set) figures {
	o := newOutage(gates)
	back := o.now.Add(2 * time.Minute)
	for o.now.Before(back) {
		o.tick()
	}
	f := figures{starts: o.starts, wasted: o.wasted}
	o.down = false
	for !o.store.records["big"].State.Final() && o.now.Before(back.Add(5*time.Minute)) {
		o.tick()
	}
	Expect(o.store.records["big"].Completed).To(Equal(outageItems))
	f.peak, f.waited, f.whole = o.peak, o.last.Sub(back), o.now.Sub(back)
	return f
}

var _ = Describe("items whose engines are all down", func() {
	It("wait at a gate with few starts, and come back without a burst", func() {
		parked, polled := measure(gate.NewSet(gate.DefaultLimits)), measure(nil)
		Expect(parked.starts).To(BeNumerically("<", polled.starts/4))
		Expect(parked.wasted).To(BeNumerically("<=", polled.wasted))
		Expect(parked.peak).To(BeNumerically("<", polled.peak))
		Expect(parked.whole).To(BeNumerically("<=", polled.whole+10*time.Second))
	})
	It("run at their release, not before", func() {
		o := newOutage(gate.NewSet(gate.Limits{Rate: 1, Burst: 1, RecheckInterval: time.Hour}))
		o.tick()
		waiting := o.gates.Parked("model/llm")
		Expect(waiting).To(BeNumerically(">", 100))
		o.down = false
		before := len(o.ends)
		o.run(o.shard.Tick(o.now))
		Expect(o.ends).To(HaveLen(before))
		o.run(o.shard.Unparked(o.now, "big", 0))
		o.run(o.shard.Unparked(o.now, "gone", 0))
	})
})

func BenchmarkOutage(b *testing.B) {
	RegisterTestingT(b)
	for _, one := range []struct {
		name  string
		gates *gate.Set
	}{{"gate", gate.NewSet(gate.DefaultLimits)}, {"polling", nil}} {
		b.Run(one.name, func(b *testing.B) {
			var f figures
			for b.Loop() {
				f = measure(one.gates)
			}
			b.ReportMetric(float64(f.starts), "starts")
			b.ReportMetric(float64(f.wasted), "wasted")
			b.ReportMetric(float64(f.peak), "peak/tick")
			b.ReportMetric(f.waited.Seconds(), "s-to-last-waiting")
			b.ReportMetric(f.whole.Seconds(), "s-to-end")
		})
	}
}
