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

// configOf returns a services text with the given number of engines by zone.
func configOf(engines map[string]int) *services.Text {
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
	config, err := services.Parse(source, 1)
	if err != nil {
		panic(err)
	}
	return config
}

func routerOf(policy route.Policy, seed uint64, engines map[string]int) *route.Router {
	r := route.NewRouter("a", seed, policy)
	r.SetServices(configOf(engines))
	return r
}

func newRequest(prompt string, u request.Urgency, deadline time.Time) *request.Request {
	return request.New(request.Options{
		ID: prompt, Service: "chat", Model: "llm", Engine: true, Body: []byte(prompt), Urgency: u, Deadline: deadline,
	})
}

func onlineRequest(i int) *request.Request {
	return newRequest(fmt.Sprintf("prompt %d", i), request.Online, time.Time{})
}

// pickAndSend picks a backend server and records the request as sent.
func pickAndSend(r *route.Router, now time.Time, q *request.Request) string {
	b, failure := r.Pick(now, q, nil)
	Expect(failure).To(BeNil())
	r.RecordSent(now, b.Name, q.Urgency())
	return b.Name
}

// maxRequestsPerEngine lets routers of several hosts choose by the same old
// report and returns the largest number of requests that one engine got.
func maxRequestsPerEngine(policy route.Policy, hosts, engines, perHost int) int {
	counts := make(map[string]int)
	for h := range hosts {
		r := routerOf(policy, uint64(h), map[string]int{"a": engines})
		for i := range engines {
			load := route.Load{Running: slots / 2}
			if i == 0 {
				load.Running = 0
			}
			r.SetLoad(start, fmt.Sprintf("a-%d", i), load)
		}
		for i := range perHost {
			counts[pickAndSend(r, start, onlineRequest(h*perHost+i))]++
		}
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return most
}

var _ = Describe("several hosts with one old report", func() {
	const hosts, engines, perHost = 50, 100, 10
	mean := hosts * perHost / engines

	It("spread their requests within a bound of the mean", func() {
		Expect(maxRequestsPerEngine(route.Balanced, hosts, engines, perHost)).To(BeNumerically("<=", 6*mean))
	})

	It("overload the same engine under the naive least-loaded policy", func() {
		Expect(maxRequestsPerEngine(route.LeastLoaded, hosts, engines, perHost)).To(BeNumerically(">", 20*mean))
	})
})

var _ = Describe("a router", func() {
	It("stays in its zone until the slots there are taken, then also uses other zones by cost", func() {
		r := routerOf(route.Balanced, 1, map[string]int{"a": 2, "b": 2})
		for i := range 2 * slots {
			Expect(pickAndSend(r, start, onlineRequest(i))).To(HavePrefix("a-"))
		}
		var remote int
		for i := range 8 * slots {
			if pickAndSend(r, start, onlineRequest(i))[0] == 'b' {
				remote++
			}
		}
		Expect(remote).To(BeNumerically(">", slots))
	})

	It("keeps a prompt prefix on one engine until the load bound is reached", func() {
		repeated := onlineRequest(7)
		large := routerOf(route.Balanced, 2, map[string]int{"a": 50})
		home := pickAndSend(large, start, repeated)
		Expect(pickAndSend(large, start, repeated)).To(Equal(home))

		// With two engines, each choice compares both, so the bound always holds.
		r := routerOf(route.Balanced, 2, map[string]int{"a": 2})
		counts := make(map[string]int)
		for range 3 * slots {
			counts[pickAndSend(r, start, repeated)]++
			Expect(max(counts["a-0"], counts["a-1"]) - min(counts["a-0"], counts["a-1"])).To(BeNumerically("<=", slots/4+1))
		}
	})

	It("follows a cache event and invalidates the engine's hints at a gap", func() {
		r := routerOf(route.Balanced, 3, map[string]int{"a": 50})
		q := onlineRequest(1)
		home := pickAndSend(r, start, q)
		other := "a-0"
		if home == other {
			other = "a-1"
		}
		r.ApplyCacheEvent(start, route.CacheEvent{Backend: other, Sequence: 5, Prefix: q.Prefix()})
		Expect(pickAndSend(r, start, q)).To(Equal(other))
		Expect(pickAndSend(r, start.Add(time.Hour), q)).NotTo(Equal(other), "hints expire")
		r.ApplyCacheEvent(start, route.CacheEvent{Backend: other, Sequence: 7, Prefix: 1})
		b, _ := r.Pick(start, q, nil)
		Expect(b.Name).NotTo(Equal(other))
	})

	It("adds the requests sent since an old report", func() {
		r := routerOf(route.Balanced, 4, map[string]int{"a": 2})
		r.SetLoad(start, "a-0", route.Load{Running: slots})
		for i := range slots / 2 {
			Expect(pickAndSend(r, start, onlineRequest(i))).To(Equal("a-1"))
		}
	})

	It("reduces the weight of a report with its age", func() {
		r := routerOf(route.Balanced, 4, map[string]int{"a": 1, "b": 1})
		r.SetLoad(start, "a-0", route.Load{Running: 20 * slots})
		Expect(pickAndSend(r, start, onlineRequest(1))).To(Equal("b-0"))
		Expect(pickAndSend(r, start.Add(time.Minute), onlineRequest(1))).To(Equal("a-0"))
	})

	It("refuses a request that can't meet its deadline before it runs, with a retry time", func() {
		r := routerOf(route.Balanced, 5, map[string]int{"a": 1})
		for range 10 {
			r.RecordSent(start, "a-0", request.Online)
			r.RecordEnd(start, "a-0", route.Outcome{Completed: true, ServiceTime: time.Second})
		}
		r.SetLoad(start, "a-0", route.Load{Running: slots, Waiting: 10 * slots})
		_, failure := r.Pick(start, newRequest("x", request.Online, start.Add(2*time.Second)), nil)
		Expect(failure.Code()).To(Equal(result.DeadlineTooShort))
		Expect(failure.Ran()).To(Equal(result.RanNo))
		Expect(failure.RetryAfter()).To(BeNumerically(">=", time.Second))
		_, failure = r.Pick(start, newRequest("x", request.Online, start.Add(time.Minute)), nil)
		Expect(failure).To(BeNil())
	})

	It("sends batch to idle slots, counting the batch items that run at each engine", func() {
		r := routerOf(route.Balanced, 6, map[string]int{"a": 2})
		r.SetLoad(start, "a-0", route.Load{Running: slots, Batch: slots})
		Expect(pickAndSend(r, start, newRequest("item", request.Batch, time.Time{}))).To(Equal("a-1"))
	})

	It("gives no requests to a leaving backend server that the services text still lists", func() {
		r := routerOf(route.Balanced, 7, map[string]int{"a": 2})
		r.SetLeaving("a-0", true)
		for i := range 100 {
			Expect(pickAndSend(r, start, onlineRequest(i))).To(Equal("a-1"))
		}
	})

	It("probes a failed backend server with one request at a time", func() {
		r := routerOf(route.Balanced, 8, map[string]int{"a": 2})
		r.RecordSent(start, "a-0", request.Online)
		r.RecordEnd(start, "a-0", route.Outcome{Failed: true})
		later := start.Add(time.Second)
		probes := 0
		for i := range 100 {
			if pickAndSend(r, later, onlineRequest(i)) == "a-0" {
				probes++
			}
		}
		Expect(probes).To(Equal(1))
		r.RecordEnd(later, "a-0", route.Outcome{Completed: true})
		for i := range 100 {
			if pickAndSend(r, later, onlineRequest(i)) == "a-0" {
				probes++
			}
		}
		Expect(probes).To(BeNumerically(">", 10))
	})
})

// TestPickAgainstNaive compares each choice with a scan of all servers: the
// chosen server is usable, one is found whenever a usable one exists, and no
// server of another zone is chosen once its load far exceeds that of the least
// loaded server of the router's zone.
func TestPickAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		local, remote := rapid.IntRange(0, 5).Draw(t, "near"), rapid.IntRange(0, 5).Draw(t, "far")
		r := routerOf(route.Balanced, rapid.Uint64().Draw(t, "seed"), map[string]int{"a": local, "b": remote})
		leaving := make(map[string]bool)
		sent := make(map[string]int)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			name := fmt.Sprintf("%s-%d", zone, rapid.IntRange(0, 4).Draw(t, "server"))
			if rapid.IntRange(0, 4).Draw(t, "event") == 0 {
				leaving[name] = !leaving[name]
				r.SetLeaving(name, leaving[name])
			}
			staying := make(map[string]int)
			for z, n := range map[string]int{"a": local, "b": remote} {
				for j := range n {
					if server := fmt.Sprintf("%s-%d", z, j); !leaving[server] {
						staying[z]++
					}
				}
			}
			q := onlineRequest(i)
			b, failure := r.Pick(start, q, nil)
			if (failure == nil) != (staying["a"]+staying["b"] > 0) {
				t.Fatalf("staying servers %v, failure %v", staying, failure)
			}
			if failure != nil {
				continue
			}
			if leaving[b.Name] {
				t.Fatalf("%s is leaving", b.Name)
			}
			if b.Zone == "b" && staying["a"] > 0 {
				minLoad := 1 << 30
				for j := range local {
					if server := fmt.Sprintf("a-%d", j); !leaving[server] {
						minLoad = min(minLoad, sent[server])
					}
				}
				if load := sent[b.Name]; load+slots >= minLoad+staying["a"]*slots*8 {
					t.Fatalf("chose another zone: least load in the router's zone %d, load of the chosen server %d", minLoad, load)
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
					requests[i] = onlineRequest(i)
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
