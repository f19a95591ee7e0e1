// Package queue decides which request runs next on one backend server. Model
// engines have no priorities and admit requests in order of arrival, so the
// order is decided here, in the one queue that is kept for each backend server.
//
// A Policy is a pure state machine: it takes typed messages with the current
// time and returns typed actions, which the caller carries out. Finished must be
// called for every started entry, also for one that was preempted. An online
// request starts in the slot of a preempted entry at once, a batch entry only
// after Finished was called for it.
package queue

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// ID identifies an entry of a queue; the caller assigns it.
type ID uint64

// Entry is a request that needs a slot.
type Entry struct {
	ID           ID
	Organisation string
	// Share is the fair-queueing share of the organisation among those of equal
	// weight, at least 1.
	Share   int
	Urgency request.Urgency
	Weight  int
	Arrived time.Time
	// Deadline is zero for batch items, Due is zero for online requests.
	Deadline time.Time
	Due      time.Time
	// PromptTokens estimates the prompt tokens that the engine processes before
	// the first token of each run.
	PromptTokens int
	// ProducedTokens counts the tokens produced so far, which the engine
	// processes in addition to the prompt when the request is resumed.
	ProducedTokens int
	// NotResumable reports that a cancelled run cannot be resumed and starts
	// over.
	NotResumable bool
	// Preemptions counts how often the request was preempted.
	Preemptions int
	// NonPreemptible entries are never preempted, because their call must not be
	// repeated.
	NonPreemptible bool
}

// ActionKind is what the caller of a policy has to do.
type ActionKind uint8

// The actions that a policy returns.
const (
	// Start runs the waiting entry.
	Start ActionKind = iota
	// Preempt cancels the running batch entry. The caller offers the request
	// again to have it resumed.
	Preempt
	// Refuse rejects the waiting entry with Err, which reports that this attempt
	// has not run.
	Refuse
)

// Action is one instruction to the caller of a policy.
type Action struct {
	Kind ActionKind
	ID   ID
	Err  *result.Error
}

// Counts is the load of a queue.
type Counts struct {
	Running int
	Waiting int
	// BatchRunning counts the batch entries in Running.
	BatchRunning int
	BatchWaiting int
	Slots        int
}

// Policy decides the order of one backend server's queue.
type Policy interface {
	// Offer adds a waiting entry.
	Offer(now time.Time, e Entry) []Action
	// Finished frees the slot of a started entry.
	Finished(now time.Time, id ID) []Action
	// Withdraw removes a waiting entry whose caller is gone.
	Withdraw(now time.Time, id ID) []Action
	// Progress records that a running entry produced tokens.
	Progress(id ID, tokens int)
	// Resize changes the number of slots.
	Resize(now time.Time, slots int) []Action
	// Tick refuses entries that can no longer meet their deadline.
	Tick(now time.Time) []Action
	// Counts returns the current load.
	Counts() Counts
}
