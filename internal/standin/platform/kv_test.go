package platform_test

import (
	"context"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

var ctx = context.Background()

func newKV() (*platform.KV, *timer.Manual) {
	clock := timer.NewManual(time.Unix(1000, 0))
	return platform.NewKV(clock), clock
}

func put(kv *platform.KV, key, value string, lease store.LeaseID) store.TxnResult {
	outcome, err := kv.Commit(ctx, store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value), Lease: lease}}})
	Expect(err).NotTo(HaveOccurred())
	return outcome
}

func exists(kv *platform.KV, key string) bool {
	_, ok, err := kv.Get(ctx, key)
	Expect(err).NotTo(HaveOccurred())
	return ok
}

var _ = Describe("the key-value stand-in", func() {
	It("applies a transaction atomically", func() {
		kv, _ := newKV()
		put(kv, "a", "1", 0)
		outcome, err := kv.Commit(ctx, store.Txn{
			Compares: []store.Compare{{Key: "a"}},
			Puts:     []store.Put{{Key: "b"}},
			Deletes:  []string{"a"},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Succeeded).To(BeFalse())
		Expect(exists(kv, "a")).To(BeTrue())
		Expect(exists(kv, "b")).To(BeFalse())
	})

	It("keeps the create revision across puts and assigns a new one after a delete", func() {
		kv, _ := newKV()
		first := put(kv, "a", "1", 0).Revision
		put(kv, "a", "2", 0)
		entry, _, _ := kv.Get(ctx, "a")
		Expect(entry.CreateRevision).To(Equal(first))
		Expect(entry.ModRevision).To(BeNumerically(">", first))
		_, err := kv.Commit(ctx, store.Txn{Deletes: []string{"a"}})
		Expect(err).NotTo(HaveOccurred())
		put(kv, "a", "3", 0)
		entry, _, _ = kv.Get(ctx, "a")
		Expect(entry.CreateRevision).To(BeNumerically(">", first))
	})

	It("deletes the keys of an expired lease except those moved to another lease", func() {
		kv, clock := newKV()
		shortLease, _ := kv.Grant(ctx, 10*time.Second)
		longLease, _ := kv.Grant(ctx, time.Hour)
		put(kv, "a", "1", shortLease)
		put(kv, "b", "1", shortLease)
		put(kv, "b", "2", longLease)
		clock.Advance(9 * time.Second)
		_, err := kv.KeepAlive(ctx, shortLease)
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(9 * time.Second)
		Expect(exists(kv, "a")).To(BeTrue())
		clock.Advance(2 * time.Second)
		Expect(exists(kv, "a")).To(BeFalse())
		Expect(exists(kv, "b")).To(BeTrue())
		_, err = kv.KeepAlive(ctx, shortLease)
		Expect(err).To(MatchError(store.ErrLeaseNotFound))
		_, err = kv.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "c", Lease: shortLease}}})
		Expect(err).To(MatchError(store.ErrLeaseNotFound))
	})

	It("accepts a value of the maximum size and refuses one byte more", func() {
		kv, _ := newKV()
		_, err := kv.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "a", Value: make([]byte, store.MaxValueBytes)}}})
		Expect(err).NotTo(HaveOccurred())
		_, err = kv.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "b", Value: make([]byte, store.MaxValueBytes+1)}}})
		Expect(err).To(MatchError(store.ErrUnavailable))
		Expect(exists(kv, "b")).To(BeFalse())
	})
})

// TestAgainstNaive compares random transactions with a model based on a map.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kv, _ := newKV()
		type pair struct {
			value             string
			created, modified int64
		}
		model := make(map[string]pair)
		var revision int64
		keys := rapid.SampledFrom([]string{"a", "b", "b\x00", "c"})
		for range rapid.IntRange(1, 40).Draw(t, "transactions") {
			key, other := keys.Draw(t, "key"), keys.Draw(t, "other")
			target := store.Target(rapid.IntRange(0, 1).Draw(t, "target"))
			expected := int64(rapid.IntRange(0, 6).Draw(t, "revision"))
			value := rapid.StringN(0, 3, 8).Draw(t, "value")
			txn := store.Txn{Compares: []store.Compare{{Key: key, Target: target, Revision: expected}}}
			remove := rapid.Bool().Draw(t, "delete")
			if remove {
				txn.Deletes = []string{other}
			} else {
				txn.Puts = []store.Put{{Key: other, Value: []byte(value)}}
			}
			actual := model[key].created
			if target == store.ModRevision {
				actual = model[key].modified
			}
			if actual == expected {
				revision++
				if remove {
					delete(model, other)
				} else {
					p := pair{value, model[other].created, revision}
					if p.created == 0 {
						p.created = revision
					}
					model[other] = p
				}
			}
			outcome, err := kv.Commit(ctx, txn)
			if err != nil || outcome.Succeeded != (actual == expected) || outcome.Revision != revision {
				t.Fatalf("outcome %+v, error %v; the model has succeeded=%v at revision %d", outcome, err, actual == expected, revision)
			}
		}
		entries, _, _ := kv.Range(ctx, "a", "d", 0)
		var want []string
		for key := range model {
			want = append(want, key)
		}
		sort.Strings(want)
		if len(entries) != len(want) {
			t.Fatalf("%d keys; the model has %d", len(entries), len(want))
		}
		for i, e := range entries {
			if p := model[want[i]]; e.Key != want[i] || string(e.Value) != p.value || e.CreateRevision != p.created || e.ModRevision != p.modified {
				t.Fatalf("entry %+v; the model has %q %+v", e, want[i], p)
			}
		}
	})
}
