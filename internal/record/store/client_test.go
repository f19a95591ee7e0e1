package store_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

// patience bounds every wait; it is no statement on speed.
const patience = 30 * time.Second

var _ = Describe("a client of the stand-in server", func() {
	var (
		kv     *platform.KV
		server *platform.Server
		client *store.Client
		ctx    context.Context
	)

	BeforeEach(func() {
		kv = platform.NewKV(timer.Real{})
		var err error
		server, err = platform.Serve("127.0.0.1:0", kv)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { server.Close() })
		client, err = store.NewClient([]string{server.Endpoint()})
		Expect(err).NotTo(HaveOccurred())
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), patience)
		DeferCleanup(cancel)
	})

	put := func(key, value string) (store.Outcome, error) {
		return client.Commit(ctx, store.Txn{
			Compares: []store.Compare{{Key: key}},
			Puts:     []store.Put{{Key: key, Value: []byte(value)}},
		})
	}

	It("writes, compares, reads, pages and deletes", func() {
		for _, key := range []string{"a/1", "a/2", "a/3", "b/1"} {
			outcome, err := put(key, "value of "+key)
			Expect(err).NotTo(HaveOccurred())
			Expect(outcome.Succeeded).To(BeTrue())
		}
		outcome, err := put("a/1", "other")
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Succeeded).To(BeFalse())
		entries, _, err := store.RangeAll(ctx, client, "a/", 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(3))
		entry, ok, err := client.Get(ctx, "a/2")
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
		outcome, err = client.Commit(ctx, store.Txn{
			Compares: []store.Compare{{Key: "a/2", Target: store.ModRevision, Revision: entry.ModRevision}},
			Deletes:  []string{"a/2"},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Succeeded).To(BeTrue())
		_, ok, err = client.Get(ctx, "a/2")
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeFalse())
	})

	It("calls a lost reply unclear although the write took effect", func() {
		kv.SetFaults(func(string) platform.Fault { return platform.LoseReply })
		_, err := put("k", "v")
		Expect(err).To(MatchError(store.ErrUnclear))
		kv.SetFaults(nil)
		entry, ok, err := client.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
		Expect(string(entry.Value)).To(Equal("v"))
	})

	It("calls a refusal unavailable, and no write took effect", func() {
		kv.SetFaults(func(string) platform.Fault { return platform.Refuse })
		_, err := put("k", "v")
		Expect(err).To(MatchError(store.ErrUnavailable))
		kv.SetFaults(nil)
		_, ok, err := client.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeFalse())
	})

	It("calls a slow write unclear", func() {
		server.SetDelay(300 * time.Millisecond)
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := client.Commit(short, store.Txn{Puts: []store.Put{{Key: "k", Value: []byte("v")}}})
		Expect(err).To(MatchError(store.ErrUnclear))
	})

	It("moves to the next endpoint and says unavailable when none can be dialled", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		closed := "http://" + listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		both, err := store.NewClient([]string{closed, server.Endpoint()})
		Expect(err).NotTo(HaveOccurred())
		_, _, err = both.Get(ctx, "k")
		Expect(err).To(MatchError(store.ErrUnavailable))
		_, _, err = both.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
	})

	It("grants, renews and revokes leases", func() {
		id, err := client.Grant(ctx, 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "k", Value: []byte("v"), Lease: id}}})
		Expect(err).NotTo(HaveOccurred())
		ttl, err := client.KeepAlive(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(ttl).To(Equal(10 * time.Second))
		Expect(client.Revoke(ctx, id)).To(Succeed())
		_, ok, err := client.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeFalse())
		_, err = client.KeepAlive(ctx, id)
		Expect(err).To(MatchError(store.ErrLeaseNotFound))
	})

	It("watches changes in order and learns of compaction", func() {
		_, err := put("w/1", "one")
		Expect(err).NotTo(HaveOccurred())
		watching, stop := context.WithCancel(ctx)
		events := make(chan store.Event, 4)
		ended := make(chan error, 1)
		go func() { ended <- client.Watch(watching, "w/", 1, func(e store.Event) { events <- e }) }()
		Eventually(events, patience).Should(Receive(HaveField("Key", "w/1")))
		_, err = put("w/2", "two")
		Expect(err).NotTo(HaveOccurred())
		Eventually(events, patience).Should(Receive(HaveField("Key", "w/2")))
		stop()
		Eventually(ended, patience).Should(Receive())
		kv.Compact()
		Expect(client.Watch(ctx, "w/", 1, func(store.Event) {})).To(MatchError(store.ErrCompacted))
	})
})

var _ = DescribeTable("a write that is answered with an error", func(status int, body string, want error) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, body, status)
	}))
	DeferCleanup(server.Close)
	client, err := store.NewClient([]string{server.URL})
	Expect(err).NotTo(HaveOccurred())
	_, err = client.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: "k"}}})
	Expect(err).To(MatchError(want))
},
	Entry("refused by the service", 503, "platform store unavailable", store.ErrUnavailable),
	Entry("without a leader", 503, `{"error":"etcdserver: no leader","code":14}`, store.ErrUnavailable),
	Entry("over the rate", 429, "slow down", store.ErrUnavailable),
	Entry("timed out inside the service", 503, `{"error":"etcdserver: request timed out","code":14}`, store.ErrUnclear),
	Entry("met a change of the leader", 503, `{"error":"etcdserver: leader changed","code":14}`, store.ErrUnclear),
	Entry("failed in a gateway", 502, "bad gateway", store.ErrUnclear),
	Entry("slow gateway", 504, "timeout", store.ErrUnclear),
	Entry("a fault of the service", 500, "", store.ErrUnclear),
)

func FuzzMessages(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"header":{"revision":"7"},"kvs":[{"key":"aw==","value":"dg==","create_revision":"3","mod_revision":"4"}]}`,
		`{"header":{"revision":"7"},"succeeded":true}`, `{"result":{"TTL":"10","ID":"3"}}`,
		`{"result":{"events":[{"type":"DELETE","kv":{"key":"aw==","mod_revision":"9"}}],"compact_revision":"1"}}`,
		`{"header":{"revision":7}}`, `{"kvs":[null]}`, `[`, `{"header":{"revision":"99999999999999999999"}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		roundTrip[store.RangeResponse](t, body)
		roundTrip[store.TxnResponse](t, body)
		roundTrip[store.TxnRequest](t, body)
		roundTrip[store.KeepAliveResponse](t, body)
		roundTrip[store.WatchResponse](t, body)
	})
}

// roundTrip checks that a message that can be decoded survives its own
// encoding; empty and absent fields are the same.
func roundTrip[T any](t *testing.T, body []byte) {
	var first, second T
	if json.Unmarshal(body, &first) != nil {
		return
	}
	once, err := json.Marshal(first)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(once, &second); err != nil {
		t.Fatalf("%s: %v", once, err)
	}
	twice, _ := json.Marshal(second)
	if !reflect.DeepEqual(once, twice) {
		t.Fatalf("%s became %s", once, twice)
	}
}
