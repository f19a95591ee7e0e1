package jobstate_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
)

var _ = Describe("the failures of a job's items", func() {
	const failing, rejected, sound = 0, 1, 2
	// failed returns a job of three items: one has failed twice, one can't be done.
	failed := func(r jobstate.Record) *jobstate.Job {
		r.Total = 3
		j := jobstate.NewJob(r, items(3), nil)
		for range 2 {
			j.Start(failing, "")
			j.RecordFailure(failing)
		}
		j.Start(rejected, "")
		j.Reject(rejected)
		return j
	}
	stored := func(r jobstate.Record) jobstate.Record {
		text, err := r.Encode()
		Expect(err).NotTo(HaveOccurred())
		r, err = jobstate.DecodeRecord(text)
		Expect(err).NotTo(HaveOccurred())
		return r
	}

	It("are known to the next owner by the record", func() {
		next := jobstate.NewJob(stored(failed(jobstate.Record{}).NextRecord(nil)), items(3), nil)
		Expect(next.GiveUpFailed(failing, 3)).To(BeFalse())
		Expect(next.GiveUpFailed(failing, 2)).To(BeTrue())
		Expect(next.GiveUpFailed(sound, 1)).To(BeFalse())
		Expect(next.Unlisted()).To(ConsistOf(HaveField("ID", items(3)[failing].ID), HaveField("ID", items(3)[rejected].ID)))
	})

	It("are left out of the record that lists their items", func() {
		j := failed(jobstate.Record{})
		j.GiveUp(failing)
		r := j.NextRecord(j.Unlisted())
		Expect(r.Failures).To(BeEmpty())
		Expect(r.Rejected).To(BeEmpty())
	})

	It("hold an item until they are recorded, unless all are known", func() {
		j := failed(jobstate.Record{})
		Expect(j.MustRecord()).To(BeTrue())
		Expect(j.Held(failing)).To(BeTrue())
		Expect(j.Held(sound)).To(BeFalse())
		j.ApplyWrite(j.NextRecord(nil), nil)
		Expect(j.MustRecord()).To(BeFalse())
		Expect(j.Held(failing)).To(BeFalse())
		known := failed(jobstate.Record{FailuresKnown: true})
		Expect(known.MustRecord()).To(BeFalse())
		Expect(known.Held(failing)).To(BeFalse())
	})

	// Guards against a record that a host of the build before has written, which keeps
	// none of the fields.
	It("are recorded again after a write of the build before", func() {
		j := failed(jobstate.Record{FailuresKnown: true})
		before := j.NextRecord(nil)
		before.Failures, before.Rejected, before.FailuresKnown = nil, nil, false
		j.ApplyWrite(stored(before), nil)
		Expect(j.Held(failing)).To(BeTrue())
		r := j.NextRecord(nil)
		Expect(r.Failures).To(Equal(map[int]int{failing: 2}))
		Expect(r.Rejected).To(Equal([]int{rejected}))
	})

	It("are not looked for in a record of the build before", func() {
		text, err := json.Marshal(map[string]any{"id": "j", "total": 3, "serial": 7})
		Expect(err).NotTo(HaveOccurred())
		r, err := jobstate.DecodeRecord(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.FailuresKnown).To(BeFalse())
		j := jobstate.NewJob(r, items(3), nil)
		Expect(j.MustRecord()).To(BeFalse())
		Expect(j.GiveUpFailed(failing, 1)).To(BeFalse())
	})

	// Guards against a record that does not fit into one value, and items that wait for it.
	It("take a bounded part of the record, and hold no item that it has no room for", func() {
		const many = 10_000
		j := jobstate.NewJob(jobstate.Record{Total: many}, items(many), nil)
		for i := range many {
			j.Start(i, "")
			j.RecordFailure(i)
		}
		r := stored(j.NextRecord(nil))
		text, err := r.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(text)).To(BeNumerically("<", 64<<10))
		j.ApplyWrite(r, nil)
		Expect(j.MustRecord()).To(BeFalse())
		for i := range many {
			Expect(j.Held(i)).To(BeFalse())
		}
	})

	It("of items that the job does not have are passed over", func() {
		r := jobstate.Record{Total: 3, Failures: map[int]int{-1: 3, 3: 3}, Rejected: []int{-1, 3}}
		Expect(jobstate.NewJob(stored(r), items(3), nil).Unlisted()).To(BeEmpty())
	})
})
