package queue_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/queue"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// fillPolicy occupies the one slot of q and adds n waiting entries of many
// organisations and weights and of both urgencies.
func fillPolicy(q queue.Policy, n int) {
	q.Offer(epoch, queue.Entry{ID: 1, Share: 1, Weight: 1000, NonPreemptible: true})
	for i := range n {
		q.Offer(epoch, waitingEntry(queue.ID(i+2)))
	}
}

func waitingEntry(id queue.ID) queue.Entry {
	e := queue.Entry{
		ID: id, Organisation: fmt.Sprint("organisation", id%97), Share: 1 + int(id%3), Weight: 1 + int(id*7%50),
		Deadline: epoch.Add(time.Hour + time.Duration(id*31%1000)*time.Second),
	}
	if id%2 == 0 {
		e.Urgency = request.Batch
		e.Due, e.Deadline = e.Deadline, time.Time{}
	}
	return e
}

var queueSizes = []int{10, 100, 1000, 10_000}

func policies(n int) map[string]queue.Policy {
	return map[string]queue.Policy{"urgent": queue.NewPriorityPolicy(1, n+2), "naive": queue.NewFIFO(1, n+2)}
}

// BenchmarkOfferWithdraw measures the arrival and withdrawal of one entry.
func BenchmarkOfferWithdraw(b *testing.B) {
	for _, n := range queueSizes {
		for name, q := range policies(n) {
			fillPolicy(q, n)
			b.Run(fmt.Sprintf("%s/waiting=%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					id := queue.ID(n + 2 + i)
					q.Offer(epoch, waitingEntry(id))
					q.Withdraw(epoch, id)
				}
			})
		}
	}
}

// BenchmarkOfferFinished measures one cycle of the queue: an entry arrives, the
// running entry finishes and another one starts.
func BenchmarkOfferFinished(b *testing.B) {
	for _, n := range queueSizes {
		for name, q := range policies(n) {
			fillPolicy(q, n)
			b.Run(fmt.Sprintf("%s/waiting=%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				running := queue.ID(1)
				for i := range b.N {
					e := waitingEntry(queue.ID(n + 2 + i))
					e.Urgency, e.Deadline, e.Due = request.Online, time.Time{}, time.Time{}
					q.Offer(epoch, e)
					for _, a := range q.Finished(epoch, running) {
						running = a.ID
					}
				}
			})
		}
	}
}

// BenchmarkPreempt measures one preemption with n batch entries running: a batch
// entry is preempted, the online request runs and a batch entry starts again.
func BenchmarkPreempt(b *testing.B) {
	for _, n := range queueSizes {
		b.Run(fmt.Sprintf("running=%d", n), func(b *testing.B) {
			q := queue.NewPriorityPolicy(n, n)
			for i := range n {
				q.Offer(epoch, queue.Entry{ID: queue.ID(i + 1), Urgency: request.Batch, Share: 1, Weight: 1, PromptTokens: i})
			}
			b.ReportAllocs()
			id := queue.ID(n + 1)
			for b.Loop() {
				online := id
				victim := q.Offer(epoch, queue.Entry{ID: online, Share: 1, Weight: 1})[0].ID
				q.Finished(epoch, victim)
				q.Offer(epoch, queue.Entry{ID: online + 1, Urgency: request.Batch, Share: 1, Weight: 1, PromptTokens: int(victim)})
				q.Finished(epoch, online)
				id += 2
			}
		})
	}
}

// BenchmarkBytes measures the memory of a waiting entry.
func BenchmarkBytes(b *testing.B) {
	const n = 100_000
	q := queue.NewPriorityPolicy(1, n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		q = queue.NewPriorityPolicy(1, n)
		fillPolicy(q, n)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/entry")
	runtime.KeepAlive(q)
}
