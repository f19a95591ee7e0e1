package scheduler_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

// The world below plays a fleet in steps of manual time: hosts that place on
// their own and hear of each other late, servers that admit as requests arrive,
// callers that come in surges, and a backlog of batch that never ends.

const (
	step = 2 * time.Millisecond
	// hearing is how late hosts hear of each other.
	hearing = 12 * time.Millisecond
	// slotTime is how long an online request takes a slot in the mean; each
	// takes up to slotSpread of it more or less.
	slotTime   = 700 * time.Millisecond
	slotSpread = 0.45
	// batchTime is how long one item does.
	batchTime = 4800 * time.Millisecond
	objective = 300 * time.Millisecond
)

type job struct {
	host   int
	batch  bool
	choice scheduler.Choice
	came   time.Duration
	server backend.Server
	// left is the slot time that is needed still.
	left time.Duration
	gone bool
}

type engine struct {
	server backend.Server
	// admitted work, at most slots; the rest waits in order of arrival.
	running, queue []*job
}

type told struct {
	at    time.Duration
	host  int
	loads map[string]scheduler.Load

	backlog scheduler.Backlog
}

type world struct {
	rng *rand.Rand
	// patience is the longest wait that is expected of a request that is let in.
	patience time.Duration
	now      time.Duration
	hosts    []*scheduler.Placer
	engines  []*engine
	servers  []backend.Server
	news     []told
	items    [][]*job

	inTime, late, refused, came int
	started, yielded            int
	refusedAfter                []time.Duration
	batchSlots                  time.Duration
	onlineSlots                 time.Duration
}

var epoch = time.Unix(1000, 0)

func (w *world) clock() time.Time { return epoch.Add(w.now) }

func newWorld(hosts, engines int) *world {
	w := &world{rng: rand.New(rand.NewPCG(1, 2)), items: make([][]*job, hosts), patience: objective - 80*time.Millisecond}
	zones := []string{"a", "b", "c"}
	for i := range hosts {
		w.hosts = append(w.hosts, scheduler.New(string(rune('A'+i)), zones[i%3], w.rng.Float64, func() {}))
	}
	for i := range engines {
		s := backend.Server{ID: "e" + string(rune('a'+i)), Service: "s", Zone: zones[i%3], Slots: 8}
		w.engines = append(w.engines, &engine{server: s})
		w.servers = append(w.servers, s)
	}
	return w
}

func (w *world) engine(s backend.Server) *engine {
	for _, e := range w.engines {
		if e.server.ID == s.ID {
			return e
		}
	}
	return nil
}

// tell sends a host's counts to the others.
func (w *world) tell(host int) {
	loads, backlog := w.hosts[host].LocalState(w.clock())
	w.news = append(w.news, told{at: w.now + hearing, host: host, loads: loads, backlog: backlog})
}

func (w *world) hear() {
	n := 0
	for _, one := range w.news {
		if one.at > w.now {
			break
		}
		n++
		for i, h := range w.hosts {
			if i != one.host {
				h.Report(string(rune('A'+one.host)), "", w.clock(), one.loads, one.backlog)
			}
		}
	}
	w.news = w.news[n:]
}

// arrive is one online request at a host.
func (w *world) arrive(host int) {
	w.came++
	c := w.hosts[host].PlaceOnline(w.clock(), w.servers, nil, w.patience)
	if !c.Placed {
		w.refused++
		w.refusedAfter = append(w.refusedAfter, c.RetryAfter)
		return
	}
	e := w.engine(c.Server)
	e.queue = append(e.queue, &job{host: host, choice: c, came: w.now, server: c.Server, left: w.need()})
	w.tell(host)
}

// need draws the slot time of one request.
func (w *world) need() time.Duration {
	return time.Duration((1 + slotSpread*(2*w.rng.Float64()-1)) * float64(slotTime))
}

// run lets the servers work for one step.
func (w *world) run() {
	for _, e := range w.engines {
		var on []*job
		for _, j := range e.running {
			j.left -= step
			if j.batch {
				w.batchSlots += step
			} else {
				w.onlineSlots += step
			}
			switch {
			case j.gone:
			case j.left <= 0:
				w.end(j)
			default:
				on = append(on, j)
			}
		}
		e.running = on
		for len(e.queue) > 0 && len(e.running) < e.server.Slots {
			j := e.queue[0]
			e.queue = e.queue[1:]
			if j.gone {
				continue
			}
			if !j.batch {
				if w.now-j.came <= objective-10*time.Millisecond {
					w.inTime++
				} else {
					w.late++
				}
			}
			e.running = append(e.running, j)
		}
	}
}

func (w *world) end(j *job) {
	if j.batch {
		w.hosts[j.host].EndBatch(w.clock(), j.server, scheduler.Completed)
		w.drop(j)
	} else {
		w.hosts[j.host].EndOnline(w.clock(), j.choice, w.now-j.came, scheduler.Completed)
	}
	w.tell(j.host)
}

func (w *world) drop(j *job) {
	list := w.items[j.host]
	for i, one := range list {
		if one == j {
			w.items[j.host] = append(list[:i], list[i+1:]...)
			return
		}
	}
}

// schedule is what each host does with its batch items; yielding says that they
// leave servers that are too full.
func (w *world) schedule(yielding bool) {
	for i, h := range w.hosts {
		changed := false
		if yielding {
			for server, n := range h.BatchToPreempt(w.clock(), w.servers) {
				for _, j := range append([]*job(nil), w.items[i]...) {
					if n > 0 && j.server.ID == server {
						j.gone = true
						h.EndBatch(w.clock(), j.server, scheduler.Unknown)
						w.drop(j)
						w.yielded++
						n, changed = n-1, true
					}
				}
			}
		}
		h.SetBacklog(w.clock(), 50, time.Duration(i)*time.Second)
		for _, s := range h.PlaceBatch(w.clock(), w.servers, 50) {
			changed = true
			w.started++
			j := &job{host: i, batch: true, server: s, left: batchTime}
			w.items[i] = append(w.items[i], j)
			e := w.engine(s)
			e.queue = append(e.queue, j)
		}
		if changed {
			w.tell(i)
		}
	}
}

// play runs the world for a time at perSecond requests, in surges: for 2.2 of
// each 5.2 seconds 1.85 times the mean, else 0.378 times.
func (w *world) play(length time.Duration, perSecond float64, batch, yielding bool) {
	heartbeat := 250 * time.Millisecond
	for w.now = 0; w.now < length; w.now += step {
		w.hear()
		rate := perSecond * 0.378
		if w.now%(5200*time.Millisecond) >= 3*time.Second {
			rate = perSecond * 1.85
		}
		if w.rng.Float64() < rate*step.Seconds() {
			w.arrive(w.rng.IntN(len(w.hosts)))
		}
		if batch && w.now%(20*time.Millisecond) == 0 {
			w.schedule(yielding)
		}
		if w.now%heartbeat == 0 {
			for i := range w.hosts {
				w.tell(i)
			}
		}
		w.run()
	}
}

func share(n, of int) float64 { return float64(n) / float64(of) }

var _ = Describe("placing under surges", func() {
	const length = 52 * time.Second

	It("serves as many in time beside batch as without it, and batch gets what is left", func() {
		alone := newWorld(7, 12)
		alone.play(length, 56, false, true)
		beside := newWorld(7, 12)
		beside.play(length, 56, true, true)
		naive := newWorld(7, 12)
		naive.play(length, 56, true, false)
		GinkgoWriter.Printf("in time: alone %.4f, beside batch %.4f, batch that does not yield %.4f; batch slot share %.3f, %d started, %d left\n",
			share(alone.inTime, alone.came), share(beside.inTime, beside.came), share(naive.inTime, naive.came),
			beside.batchSlots.Seconds()/(96*length.Seconds()-beside.onlineSlots.Seconds()), beside.started, beside.yielded)
		// The brief: urgent callers are never slowed by bulk work.
		Expect(share(beside.inTime, beside.came)).To(BeNumerically(">=", 0.99*share(alone.inTime, alone.came)))
		Expect(share(beside.inTime, beside.came)).To(BeNumerically(">=", 0.99))
		Expect(naive.inTime).To(BeNumerically("<", beside.inTime))
		// What online leaves is for batch: at least two thirds of it.
		Expect(beside.batchSlots.Seconds()).To(BeNumerically(">=", 2.0/3*(96*length.Seconds()-beside.onlineSlots.Seconds())))
	})

	It("refuses at once what can't be in time, and keeps the rest in time", func() {
		w := newWorld(7, 12)
		w.play(length, 140, true, true)
		naive := newWorld(7, 12)
		naive.patience = time.Hour
		naive.play(length, 140, true, true)
		served := share(w.inTime, w.inTime+w.late)
		for _, one := range []*world{w, naive} {
			GinkgoWriter.Printf("overload: came %d, in time %d, late %d, refused %d\n", one.came, one.inTime, one.late, one.refused)
		}
		Expect(w.refused).To(BeNumerically(">", 0))
		// The design's aim: of ten that are let in, nine start in time.
		Expect(served).To(BeNumerically(">=", 0.9))
		Expect(w.inTime).To(BeNumerically(">", naive.inTime))
		// What is refused together does not come back together.
		var soon, late int
		for _, d := range w.refusedAfter {
			Expect(d).To(BeNumerically(">", 0))
			Expect(d).To(BeNumerically("<=", 1600*time.Millisecond))
			if d < 900*time.Millisecond {
				soon++
			} else {
				late++
			}
		}
		Expect(share(soon, len(w.refusedAfter))).To(BeNumerically("~", 0.5, 0.1))
		Expect(late).To(BeNumerically(">", 0))
	})

	It("goes on alone when it hears of no other host", func() {
		w := newWorld(1, 12)
		w.play(length, 40, true, true)
		Expect(share(w.inTime, w.came)).To(BeNumerically(">=", 0.99))
	})
})
