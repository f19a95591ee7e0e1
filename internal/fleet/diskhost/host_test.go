package diskhost_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/diskhost"
	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

// timeout bounds every wait. It is generous because the specs do not measure
// speed.
const timeout = 20 * time.Second

var _ = DescribeTable("a disk host answers the order to empty it", func(orderFirst bool, refusals int64) {
	clock := timer.NewManual(time.Unix(1000, 0))
	kv := platform.NewKV(clock)
	order := func() {
		_, err := kv.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: "order/d1", Value: []byte("{}")}}})
		Expect(err).NotTo(HaveOccurred())
	}
	if orderFirst {
		order()
	}
	h := diskhost.New(&setup.Entry{Name: "d1"}, logr.Discard(), clock, diskhost.Adapter{Store: kv, OrderKey: "order/d1", AnswerKey: "answer/d1", Done: []byte("done")})
	h.Start()
	DeferCleanup(h.Stop)
	if !orderFirst {
		clock.Advance(time.Second)
		order()
	}
	var refused atomic.Int64
	kv.SetFaults(func(op string) platform.Fault {
		if op == "txn" && refused.Add(1) <= refusals {
			return platform.Refuse
		}
		return platform.NoFault
	})
	Eventually(func(g Gomega) {
		clock.Advance(100 * time.Millisecond)
		e, ok, err := kv.Get(context.Background(), "answer/d1")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ok).To(BeTrue())
		g.Expect(string(e.Value)).To(Equal("done"))
	}, timeout, time.Millisecond).Should(Succeed())
},
	Entry("given before it starts", true, int64(0)),
	Entry("given while it runs", false, int64(0)),
	Entry("while the store refuses some answers", false, int64(3)),
)
