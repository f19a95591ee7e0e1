package route_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
	"github.com/kingcupquay/kingcupquay/internal/serving/route"
)

const slots = 8

var start = time.Unix(1_700_000_000, 0)

// textOf returns a text with that many engines in each zone.
func textOf(engines map[string]int) *services.Text {
	doc := map[string]any{
		"organisations": []any{services.Organisation{Name: "agency", TokenHashes: []string{strings.Repeat("a", 64)}}},
		"services":      []services.Service{{Name: "chat", Kind: services.EngineKind, Model: "llm", Urgency: "online", Weight: 1, Idempotent: true}},
	}
	var backends []services.Backend
	for _, zone := range []string{"a", "b"} {
		for i := range engines[zone] {
			backends = append(backends, services.Backend{
				Name: fmt.Sprintf("%s-%d", zone, i), Kind: services.EngineKind, Zone: zone, Address: "127.0.0.1:1", Models: []string{"llm"}, Slots: slots,
			})
		}
	}
	doc["backends"] = backends
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

func routerOf(policy route.Policy, seed uint64, engines map[string]int) *route.Router {
	r := route.NewRouter("a", seed, policy)
	r.SetServices(textOf(engines))
	return r
}

func ask(prompt string, u request.Urgency, deadline time.Time) *request.Request {
	return request.New(request.Options{
		ID: prompt, Service: "chat", Model: "llm", Engine: true, Body: []byte(prompt), Urgency: u, Deadline: deadline,
	})
}

func online(i int) *request.Request {
	return ask(fmt.Sprintf("prompt %d", i), request.Online, time.Time{})
}

// mustPick picks and notes the request as sent.
func mustPick(r *route.Router, now time.Time, q *request.Request) string {
	b, failure := r.Pick(now, q, nil)
	Expect(failure).To(BeNil())
	r.RecordSent(now, b.Name, q.Urgency())
	return b.Name
}

// spread lets routers of several hosts decide on one old report and returns
// the most requests that one engine got.
func spread(policy route.Policy, hosts, engines, each int) int {
	got := make(map[string]int)
	for h := range hosts {
		r := routerOf(policy, uint64(h), map[string]int{"a": engines})
		for i := range engines {
			load := route.Load{Running: slots / 2}
			if i == 0 {
				load.Running = 0
			}
			r.SetLoad(start, fmt.Sprintf("a-%d", i), load)
		}
		for i := range each {
			got[mustPick(r, start, online(h*each+i))]++
		}
	}
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	return most
}

var _ = Describe("several hosts with one old report", func() {
	const hosts, engines, each = 50, 100, 10
	mean := hosts * each / engines

	It("spread their requests within a bound of the mean", func() {
		Expect(spread(route.Balanced, hosts, engines, each)).To(BeNumerically("<=", 6*mean))
	})

	It("herd under the naive least-loaded policy", func() {
		Expect(spread(route.LeastLoaded, hosts, engines, each)).To(BeNumerically(">", 20*mean))
	})
})

var _ = Describe("a router", func() {
	It("stays in its zone until the slots there are taken, then spills over by cost", func() {
		r := routerOf(route.Balanced, 1, map[string]int{"a": 2, "b": 2})
		for i := range 2 * slots {
			Expect(mustPick(r, start, online(i))).To(HavePrefix("a-"))
		}
		var far int
		for i := range 8 * slots {
			if mustPick(r, start, online(i))[0] == 'b' {
				far++
			}
		}
		Expect(far).To(BeNumerically(">", slots))
	})

	It("keeps a prompt prefix on one engine until the load bound is reached", func() {
		same := online(7)
		wide := routerOf(route.Balanced, 2, map[string]int{"a": 50})
		home := mustPick(wide, start, same)
		Expect(mustPick(wide, start, same)).To(Equal(home))

		// Of two engines both are drawn, so that the bound holds at each choice.
		r := routerOf(route.Balanced, 2, map[string]int{"a": 2})
		got := make(map[string]int)
		for range 3 * slots {
			got[mustPick(r, start, same)]++
			Expect(max(got["a-0"], got["a-1"]) - min(got["a-0"], got["a-1"])).To(BeNumerically("<=", slots/4+1))
		}
	})

	It("follows a cache event and forgets the engine's hints at a gap", func() {
		r := routerOf(route.Balanced, 3, map[string]int{"a": 50})
		q := online(1)
		home := mustPick(r, start, q)
		other := "a-0"
		if home == other {
			other = "a-1"
		}
		r.ApplyCacheEvent(start, route.CacheEvent{Backend: other, Sequence: 5, Prefix: q.Prefix()})
		Expect(mustPick(r, start, q)).To(Equal(other))
		Expect(mustPick(r, start.Add(time.Hour), q)).NotTo(Equal(other), "hints age")
		r.ApplyCacheEvent(start, route.CacheEvent{Backend: other, Sequence: 7, Prefix: 1})
		b, _ := r.Pick(start, q, nil)
		Expect(b.Name).NotTo(Equal(other))
	})

	It("corrects an old report by what it sent since", func() {
		r := routerOf(route.Balanced, 4, map[string]int{"a": 2})
		r.SetLoad(start, "a-0", route.Load{Running: slots})
		for i := range slots / 2 {
			Expect(mustPick(r, start, online(i))).To(Equal("a-1"))
		}
	})

	It("trusts a report less as it ages", func() {
		r := routerOf(route.Balanced, 4, map[string]int{"a": 1, "b": 1})
		r.SetLoad(start, "a-0", route.Load{Running: 20 * slots})
		Expect(mustPick(r, start, online(1))).To(Equal("b-0"))
		Expect(mustPick(r, start.Add(time.Minute), online(1))).To(Equal("a-0"))
	})

	It("refuses a request early that can't meet its deadline, not run, with a retry time", func() {
		r := routerOf(route.Balanced, 5, map[string]int{"a": 1})
		for range 10 {
			r.RecordSent(start, "a-0", request.Online)
			r.RecordEnd(start, "a-0", route.Outcome{Completed: true, ServiceTime: time.Second})
		}
		r.SetLoad(start, "a-0", route.Load{Running: slots, Waiting: 10 * slots})
		_, failure := r.Pick(start, ask("x", request.Online, start.Add(2*time.Second)), nil)
		Expect(failure.Code()).To(Equal(result.DeadlineTooShort))
		Expect(failure.Ran()).To(Equal(result.RanNo))
		Expect(failure.RetryAfter()).To(BeNumerically(">=", time.Second))
		_, failure = r.Pick(start, ask("x", request.Online, start.Add(time.Minute)), nil)
		Expect(failure).To(BeNil())
	})

	It("sends batch where slots are idle, counting batch that runs there", func() {
		r := routerOf(route.Balanced, 6, map[string]int{"a": 2})
		r.SetLoad(start, "a-0", route.Load{Running: slots, Batch: slots})
		Expect(mustPick(r, start, ask("item", request.Batch, time.Time{}))).To(Equal("a-1"))
	})

	It("gives a leaving back end nothing, whatever older lists say", func() {
		r := routerOf(route.Balanced, 7, map[string]int{"a": 2})
		r.SetLeaving("a-0", true)
		for i := range 100 {
			Expect(mustPick(r, start, online(i))).To(Equal("a-1"))
		}
	})

	It("probes a lost back end with one request at a time", func() {
		r := routerOf(route.Balanced, 8, map[string]int{"a": 2})
		r.RecordSent(start, "a-0", request.Online)
		r.RecordEnd(start, "a-0", route.Outcome{Failed: true})
		later := start.Add(time.Second)
		probes := 0
		for i := range 100 {
			if mustPick(r, later, online(i)) == "a-0" {
				probes++
			}
		}
		Expect(probes).To(Equal(1))
		r.RecordEnd(later, "a-0", route.Outcome{Completed: true})
		for i := range 100 {
			if mustPick(r, later, online(i)) == "a-0" {
				probes++
			}
		}
		Expect(probes).To(BeNumerically(">", 10))
	})
})

// TestPickAgainstNaive compares each choice with a walk over all servers: a
// choice is usable, is found whenever one exists, and stays in the zone while
// the zone's cheapest server is not full.
func TestPickAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		near, far := rapid.IntRange(0, 5).Draw(t, "near"), rapid.IntRange(0, 5).Draw(t, "far")
		r := routerOf(route.Balanced, rapid.Uint64().Draw(t, "seed"), map[string]int{"a": near, "b": far})
		gone := make(map[string]bool)
		sent := make(map[string]int)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			name := fmt.Sprintf("%s-%d", zone, rapid.IntRange(0, 4).Draw(t, "server"))
			if rapid.IntRange(0, 4).Draw(t, "event") == 0 {
				gone[name] = !gone[name]
				r.SetLeaving(name, gone[name])
			}
			staying := make(map[string]int)
			for z, n := range map[string]int{"a": near, "b": far} {
				for j := range n {
					if one := fmt.Sprintf("%s-%d", z, j); !gone[one] {
						staying[z]++
					}
				}
			}
			q := online(i)
			b, failure := r.Pick(start, q, nil)
			if (failure == nil) != (staying["a"]+staying["b"] > 0) {
				t.Fatalf("staying %v, failure %v", staying, failure)
			}
			if failure != nil {
				continue
			}
			if gone[b.Name] {
				t.Fatalf("%s is leaving", b.Name)
			}
			if b.Zone == "b" && staying["a"] > 0 {
				least := 1 << 30
				for j := range near {
					if one := fmt.Sprintf("a-%d", j); !gone[one] {
						least = min(least, sent[one])
					}
				}
				if most := sent[b.Name]; most+slots >= least+staying["a"]*slots*8 {
					t.Fatalf("left the zone at load %d for %d", least, most)
				}
			}
			r.RecordSent(start, b.Name, q.Urgency())
			sent[b.Name]++
		}
	})
}

func BenchmarkPick(b *testing.B) {
	for _, policy := range []route.Policy{route.Balanced, route.RoundRobin, route.LeastLoaded} {
		for _, n := range []int{10, 100, 833, 1000, 10_000} {
			b.Run(fmt.Sprintf("%s/%d", policy, n), func(b *testing.B) {
				r := routerOf(policy, 1, map[string]int{"a": n, "b": n})
				for i := range n {
					r.SetLoad(start, fmt.Sprintf("a-%d", i), route.Load{Running: i % slots})
				}
				requests := make([]*request.Request, 1024)
				for i := range requests {
					requests[i] = online(i)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					if _, failure := r.Pick(start, requests[i%len(requests)], nil); failure != nil {
						b.Fatal(failure)
					}
				}
			})
		}
	}
}
