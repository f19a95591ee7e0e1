package deployment_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/examples"
	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

// reply is what a caller of a plain service got.
type reply struct {
	Status int
	Body   string
	Ran    string
	State  string
}

func plainCall(ctx context.Context, method, url, key, body string) reply {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+examples.AgencyCallerToken)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	var shape struct {
		Error struct{ Ran string }
		State string
	}
	_ = json.Unmarshal(text, &shape)
	return reply{resp.StatusCode, string(text), shape.Error.Ran, shape.State}
}

func tankRequest(ctx context.Context, d *deployment.Deployment, host int, key, body string) reply {
	return plainCall(ctx, http.MethodPost, d.URL(host)+"/services/tank-requests/new", key, body)
}

func recordOf(ctx context.Context, d *deployment.Deployment, host int, key string) reply {
	return plainCall(ctx, http.MethodGet, d.URL(host)+"/v1/requests/"+key, "", "")
}

// ranTimes returns how often any plain back end got a body.
func ranTimes(d *deployment.Deployment, body string) int {
	sum := 0
	for _, s := range d.Services() {
		sum += s.Count(body)
	}
	return sum
}

var _ = Describe("a recorded request", func() {
	It("runs once when its key comes in at all hosts at the same moment", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		for round := range 5 {
			key, body := fmt.Sprintf("tank-%d", round), fmt.Sprintf(`{"household":%d}`, round)
			replies := make([]reply, len(d.Hosts()))
			var wg sync.WaitGroup
			for host := range replies {
				wg.Go(func() {
					defer GinkgoRecover()
					replies[host] = tankRequest(ctx, d, host, key, body)
				})
			}
			wg.Wait()
			for _, r := range replies {
				Expect(r.Status).To(Equal(http.StatusOK), r.Body)
				Expect(r.Body).To(Equal(replies[0].Body))
			}
			Expect(ranTimes(d, body)).To(Equal(1))
			Expect(recordOf(ctx, d, round%3, key).State).To(Equal("done"))
		}
	}, SpecTimeout(patience))

	It("is refused as not run while the store is down, and runs afterwards", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		d.KV().SetFaults(func(op string) platform.Fault {
			if op == "txn" {
				return platform.Refuse
			}
			return platform.NoFault
		})
		const body = `{"household":"outage"}`
		r := tankRequest(ctx, d, 0, "tank-outage", body)
		Expect(r.Status).To(Equal(http.StatusServiceUnavailable), r.Body)
		Expect(r.Ran).To(Equal("no"))
		Expect(ranTimes(d, body)).To(BeZero())
		d.KV().SetFaults(nil)
		Eventually(func() int { return tankRequest(ctx, d, 1, "tank-outage", body).Status }, patience).Should(Equal(http.StatusOK))
		Expect(ranTimes(d, body)).To(Equal(1))
	}, SpecTimeout(patience))

	It("keeps the answer given while the store was down", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		for _, s := range d.Services() {
			s.SetDelay(time.Second)
		}
		const body = `{"household":"late"}`
		answered := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			answered <- tankRequest(ctx, d, 0, "tank-late", body)
		}()
		Eventually(func() int { return ranTimes(d, body) }, patience, "5ms").Should(Equal(1))
		d.KV().SetFaults(func(op string) platform.Fault {
			if op == "txn" {
				return platform.Refuse
			}
			return platform.NoFault
		})
		var r reply
		Eventually(answered, patience).Should(Receive(&r))
		Expect(r.Status).To(Equal(http.StatusOK), r.Body)
		d.KV().SetFaults(nil)
		Eventually(func() string { return recordOf(ctx, d, 2, "tank-late").State }, patience).Should(Equal("done"))
		Expect(tankRequest(ctx, d, 1, "tank-late", body).Body).To(Equal(r.Body))
		Expect(ranTimes(d, body)).To(Equal(1))
	}, SpecTimeout(patience))

	It("of a host that is killed ends as may have run, and is readable", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		for _, s := range d.Services() {
			s.SetDelay(3 * time.Second)
		}
		const body = `{"household":"killed"}`
		brief, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			req, _ := http.NewRequestWithContext(brief, http.MethodPost, d.URL(0)+"/services/tank-requests/new", strings.NewReader(body))
			req.Header.Set("Authorization", "Bearer "+examples.AgencyCallerToken)
			req.Header.Set("Idempotency-Key", "tank-killed")
			req.Header.Set("X-Deadline-Ms", "4000")
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}()
		Eventually(func() int { return ranTimes(d, body) }, patience, "5ms").Should(Equal(1))
		d.Hosts()[0].Kill()
		Eventually(func() string { return recordOf(ctx, d, 1, "tank-killed").State }, patience).
			Should(Or(Equal("may_have_run"), Equal("done")))
		r := tankRequest(ctx, d, 2, "tank-killed", body)
		Expect(r.Ran).NotTo(Equal("no"))
		Expect(ranTimes(d, body)).To(Equal(1))
	}, SpecTimeout(2*patience))
})
