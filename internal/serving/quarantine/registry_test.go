package quarantine_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/quarantine"
)

func fingerprint(n int) (f quarantine.Fingerprint) {
	binary.LittleEndian.PutUint64(f[:], uint64(n))
	return f
}

var _ = Describe("the records of a host", func() {
	It("count several failures of one crash once", func() {
		b := quarantine.NewRegistry()
		for range 5 {
			b.RecordCrash(start, fingerprint(1), "chat", "s1", false)
		}
		r, _ := b.Lookup(start, fingerprint(1))
		Expect(r.State).To(Equal(quarantine.Suspect))
		b.RecordCrash(start, fingerprint(1), "chat", "s2", false)
		r, _ = b.Lookup(start, fingerprint(1))
		Expect(r.State).To(Equal(quarantine.Condemned))
		Expect(r.Servers).To(Equal([]string{"s1", "s2"}))
	})

	It("do not make a body a suspect that succeeded shortly before the crash", func() {
		b := quarantine.NewRegistry()
		b.RecordSuccess(start, fingerprint(1), "s1")
		_, changed := b.RecordCrash(start.Add(time.Minute), fingerprint(1), "chat", "s2", false)
		Expect(changed).To(BeFalse())
	})

	It("permit one suspect per server, one run per body, and none on a server that just crashed", func() {
		b := quarantine.NewRegistry()
		b.RecordCrash(start, fingerprint(1), "chat", "s1", false)
		b.RecordCrash(start, fingerprint(2), "chat", "s1", false)
		Expect(b.Permit(start, fingerprint(1), "s1", "r1")).To(Equal(quarantine.Busy))
		Expect(b.Permit(start, fingerprint(1), "s2", "r1")).To(Equal(quarantine.Permitted))
		Expect(b.Permit(start, fingerprint(1), "s3", "r2")).To(Equal(quarantine.Busy))
		Expect(b.Permit(start, fingerprint(2), "s2", "r3")).To(Equal(quarantine.Busy))
		Expect(b.Permit(start, fingerprint(2), "s3", "r3")).To(Equal(quarantine.Permitted))
		b.Release(fingerprint(1), "r1")
		Expect(b.Permit(start, fingerprint(1), "s2", "r4")).To(Equal(quarantine.Permitted))
		Expect(b.Permit(start.Add(quarantine.PermitTimeout+time.Minute), fingerprint(3), "s2", "r5")).To(Equal(quarantine.NotSuspect))
	})

	It("expire and are bounded in number", func() {
		b := quarantine.NewRegistry()
		b.RecordCrash(start, fingerprint(0), "chat", "s1", false)
		b.RecordCrash(start, fingerprint(0), "chat", "s2", false)
		for i := range 4500 {
			b.RecordCrash(start.Add(time.Second), fingerprint(i+1), "chat", "s1", false)
		}
		Expect(len(b.List(start))).To(Equal(4096))
		r, held := b.Lookup(start, fingerprint(0))
		Expect(held && r.State == quarantine.Condemned).To(BeTrue(), "suspects are evicted first")
		Expect(b.List(start.Add(2 * time.Hour))).To(BeEmpty())
	})
})

var _ = Describe("a guard", func() {
	It("refuses a condemned body on all hosts until it is lifted on one", func(ctx SpecContext) {
		all, _ := newZone(3)
		for i, server := range []string{"s1", "s2"} {
			r := body("poison", i)
			permitted, failure := all[i].Admit(ctx, r, server)
			Expect(failure).To(BeNil())
			all[i].RecordEnd(ctx, r, server, permitted, crashed)
		}
		for _, g := range all {
			failure := g.Check(body("poison", 9))
			Expect(failure.Code()).To(Equal(result.Quarantined))
			Expect(failure.Ran()).To(Equal(result.RanNo))
			Expect(g.List()).To(HaveLen(1))
		}
		Expect(all[2].Lift(ctx, body("poison", 9).Fingerprint())).To(BeTrue())
		for _, g := range all {
			Expect(g.Check(body("poison", 9))).To(BeNil())
		}
	})
})

// TestMergeIgnoresOrder checks that two hosts that receive the same records in
// opposite orders end in the same state.
func TestMergeIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Record {
			return quarantine.Record{
				Fingerprint: fingerprint(1), Version: rapid.Int64Range(1, 4).Draw(t, "version"),
				State: quarantine.State(rapid.Int32Range(0, 2).Draw(t, "state")), ExpiresAt: start.Add(time.Hour),
			}
		}), 1, 6).Draw(t, "records")
		forward, reversed := quarantine.NewRegistry(), quarantine.NewRegistry()
		for i := range records {
			forward.Merge(start, records[i])
			reversed.Merge(start, records[len(records)-1-i])
		}
		x, _ := forward.Lookup(start, fingerprint(1))
		y, _ := reversed.Lookup(start, fingerprint(1))
		if x.State != y.State || x.Version != y.Version {
			t.Fatalf("%v against %v", x, y)
		}
	})
}

// BenchmarkAdmit measures Admit of a body without a record, on a host without
// records and on one with the maximum number.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{0, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all, _ := newZone(1)
			for i := range n {
				all[0].Merge(quarantine.Record{Fingerprint: fingerprint(i), State: quarantine.Suspect, Version: 1, ExpiresAt: start.Add(time.Hour)})
			}
			r := body("clear", 1)
			b.ReportAllocs()
			for b.Loop() {
				if _, failure := all[0].Admit(context.Background(), r, "s1"); failure != nil {
					b.Fatal(failure)
				}
			}
		})
	}
}
