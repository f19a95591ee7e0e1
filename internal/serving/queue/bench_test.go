package queue_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/queue"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// full returns a policy whose one slot is taken and in which n entries of many
// organisations, weights and both urgencies wait.
func full(q queue.Policy, n int) {
	q.Offer(epoch, queue.Entry{ID: 1, Share: 1, Weight: 1000, NonPreemptible: true})
	for i := range n {
		q.Offer(epoch, waiter(queue.ID(i+2)))
	}
}

func waiter(id queue.ID) queue.Entry {
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

var sizes = []int{10, 100, 1000, 10_000}

func policies(n int) map[string]queue.Policy {
	return map[string]queue.Policy{"urgent": queue.NewPriorityPolicy(1, n+2), "naive": queue.NewFIFO(1, n+2)}
}

// BenchmarkOfferWithdraw measures one entry's arrival and departure.
func BenchmarkOfferWithdraw(b *testing.B) {
	for _, n := range sizes {
		for name, q := range policies(n) {
			full(q, n)
			b.Run(fmt.Sprintf("%s/waiting=%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					id := queue.ID(n + 2 + i)
					q.Offer(epoch, waiter(id))
					q.Withdraw(epoch, id)
				}
			})
		}
	}
}

// BenchmarkOfferFinished measures one entry's way through the queue: it
// arrives, another one starts, and that one finishes.
func BenchmarkOfferFinished(b *testing.B) {
	for _, n := range sizes {
		for name, q := range policies(n) {
			full(q, n)
			b.Run(fmt.Sprintf("%s/waiting=%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				running := queue.ID(1)
				for i := range b.N {
					e := waiter(queue.ID(n + 2 + i))
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

// BenchmarkYield measures a burst of one: batch yields, the online request
// runs and batch starts again, with n batch entries running.
func BenchmarkYield(b *testing.B) {
	for _, n := range sizes {
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

// BenchmarkBytes reports what a waiting entry costs in memory.
func BenchmarkBytes(b *testing.B) {
	const n = 100_000
	q := queue.NewPriorityPolicy(1, n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		q = queue.NewPriorityPolicy(1, n)
		full(q, n)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/entry")
	runtime.KeepAlive(q)
}
