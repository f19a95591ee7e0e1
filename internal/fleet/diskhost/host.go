// Package diskhost implements the process that runs on hosts with a disk. All
// durable state is in the platform's store and none on these disks, so the
// process only acknowledges orders to empty its host.
package diskhost

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/follow"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// Adapter is the store and the keys through which the platform orders a host to
// be emptied.
type Adapter struct {
	Store follow.Source
	// The order for this host is at OrderKey; the value Done is written to
	// AnswerKey as the answer.
	OrderKey  string
	AnswerKey string
	Done      []byte
}

const (
	// pollFollowers is the number of followers passed to follow.New, which
	// computes the wait of a poll from it. The wait may be long, since an order
	// allows many seconds for its answer.
	pollFollowers = 20
	// maxAnswerAttempts bounds the attempts to answer one order.
	maxAnswerAttempts = 40
	// answerRetryInterval is the time between two attempts.
	answerRetryInterval = 250 * time.Millisecond
)

// Host answers the orders for one disk host.
type Host struct {
	timer    timer.Service
	log      logr.Logger
	adapter  Adapter
	follower *follow.Follower
	cancel   context.CancelFunc
	ctx      context.Context
	wg       sync.WaitGroup
}

var _ follow.Handler = (*Host)(nil)

// New returns a host. Start runs it.
func New(s *setup.Entry, log logr.Logger, t timer.Service, a Adapter) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{timer: t, log: log.WithValues("host", s.Name), adapter: a, ctx: ctx, cancel: cancel}
	h.follower = follow.New(t, h.log, a.Store, a.OrderKey, h, follow.Always, func() int { return pollFollowers })
	return h
}

// Start begins to follow the order key.
func (h *Host) Start() {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		h.follower.Run(h.ctx)
	}()
	h.log.Info("started")
}

// Stop stops following the order key and waits for the goroutine to end.
func (h *Host) Stop() {
	h.cancel()
	h.wg.Wait()
	h.log.Info("stopped")
}

// Listed answers an order that was given before the host followed the key.
func (h *Host) Listed(entries []store.Entry, _ time.Duration) {
	for _, e := range entries {
		h.answer(e.Key)
	}
}

// Changed answers a new order.
func (h *Host) Changed(e store.Event, _ time.Duration) {
	if !e.Deleted {
		h.answer(e.Key)
	}
}

// answer writes the answer that the host is empty, and tries again if the write
// fails.
func (h *Host) answer(key string) {
	if key != h.adapter.OrderKey {
		return
	}
	for range maxAnswerAttempts {
		outcome, err := h.adapter.Store.Commit(h.ctx, store.Txn{Puts: []store.Put{{Key: h.adapter.AnswerKey, Value: h.adapter.Done}}})
		if err == nil && outcome.Succeeded {
			h.log.Info("order to empty answered", "revision", outcome.Revision)
			return
		}
		if err != nil {
			h.log.Info("order to empty not answered", "cause", err.Error())
		}
		if !timer.Pause(h.timer, h.ctx.Done(), answerRetryInterval) {
			return
		}
	}
}
