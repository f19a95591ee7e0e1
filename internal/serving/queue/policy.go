// Package queue decides which request runs next in front of one back end.
// Model engines know no priorities and admit as they arrive, so an engine's
// order is made here, in the one queue that its keeper holds.
//
// A Policy is a pure state machine: it takes typed messages with the current
// time and returns typed actions; the keeper carries them out. Started entries
// occupy a slot until Finished is called for them, a yielded one included.
package queue

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// ID names one entry of a queue; the keeper makes it up.
type ID uint64

// Entry is a request that wants a slot.
type Entry struct {
	ID           ID
	Organisation string
	// Share is the organisation's part among equals, at least 1.
	Share   int
	Urgency request.Urgency
	Weight  int
	Arrived time.Time
	// Deadline is zero for batch items, Due is zero for online requests.
	Deadline time.Time
	Due      time.Time
	// PromptTokens estimates the tokens that every run reads before its first token.
	PromptTokens int
	// ProducedTokens counts the tokens that a cancelled run would have to resume from.
	ProducedTokens int
	// NotResumable says that a cancelled run begins from nothing.
	NotResumable bool
	// Preemptions counts how often the request was cancelled for others.
	Preemptions int
	// NonPreemptible entries are never told to yield: their call may not be repeated.
	NonPreemptible bool
}

// ActionKind tells what the keeper has to do.
type ActionKind uint8

// The actions of a policy.
const (
	// Start runs the entry.
	Start ActionKind = iota
	// Preempt cancels the running batch entry; it is offered again when resumed.
	Preempt
	// Refuse answers the waiting entry with Err, not run.
	Refuse
)

// Action is one thing for the keeper to do.
type Action struct {
	Kind ActionKind
	ID   ID
	Err  *result.Error
}

// Counts is the load of a queue.
type Counts struct {
	Running int
	Waiting int
	// BatchRunning is the part of Running that is batch.
	BatchRunning int
	BatchWaiting int
	Slots        int
}

// Policy is the order of one back end's queue.
type Policy interface {
	// Offer adds an entry that waits.
	Offer(now time.Time, e Entry) []Action
	// Finished frees the slot of a started entry.
	Finished(now time.Time, id ID) []Action
	// Withdraw removes a waiting entry whose caller left.
	Withdraw(now time.Time, id ID) []Action
	// Progress notes that a running entry produced tokens.
	Progress(id ID, tokens int)
	// Resize changes the number of slots.
	Resize(now time.Time, slots int) []Action
	// Tick refuses entries whose deadline passed.
	Tick(now time.Time) []Action
	// Counts returns the load.
	Counts() Counts
}
