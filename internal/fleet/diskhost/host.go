// Package diskhost is the program on hosts with a disk. Everything that must last
// stands in the platform's store and nothing of ours on these disks, so all
// that is left to do is to answer orders to empty a host.
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

// Adapter is the platform's manner of giving orders to empty a host.
type Adapter struct {
	Store follow.Source
	// OrderKey holds the order for this host, AnswerKey takes the answer Done.
	OrderKey  string
	AnswerKey string
	Done      []byte
}

const (
	// diskReaders sets how long a poll waits: an order allows many seconds.
	diskReaders = 20
	// answerTries bounds the tries to answer one order.
	answerTries = 40
	// answerPause is the pause between them.
	answerPause = 250 * time.Millisecond
)

// Host answers orders for one disk host.
type Host struct {
	timer   timer.Service
	log     logr.Logger
	adapter Adapter
	follow  *follow.Follower
	cancel  context.CancelFunc
	ctx     context.Context
	wait    sync.WaitGroup
}

var _ follow.Handler = (*Host)(nil)

// New returns a host that does nothing until Start.
func New(s *setup.Entry, log logr.Logger, t timer.Service, a Adapter) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{timer: t, log: log.WithValues("host", s.Name), adapter: a, ctx: ctx, cancel: cancel}
	h.follow = follow.New(t, h.log, a.Store, a.OrderKey, h, func() int { return diskReaders })
	return h
}

// Start begins to follow orders.
func (h *Host) Start() {
	h.wait.Add(1)
	go func() {
		defer h.wait.Done()
		h.follow.Run(h.ctx)
	}()
	h.log.Info("started")
}

// Stop ends the host.
func (h *Host) Stop() {
	h.cancel()
	h.wait.Wait()
	h.log.Info("stopped")
}

// Listed takes an order that stands.
func (h *Host) Listed(entries []store.Entry, _ time.Duration) {
	for _, e := range entries {
		h.answer(e.Key)
	}
}

// Changed takes a new order.
func (h *Host) Changed(e store.Event, _ time.Duration) {
	if !e.Deleted {
		h.answer(e.Key)
	}
}

// answer says that nothing is left on the host.
func (h *Host) answer(key string) {
	if key != h.adapter.OrderKey {
		return
	}
	for range answerTries {
		outcome, err := h.adapter.Store.Commit(h.ctx, store.Txn{Puts: []store.Put{{Key: h.adapter.AnswerKey, Value: h.adapter.Done}}})
		if err == nil && outcome.Succeeded {
			h.log.Info("order to empty answered", "revision", outcome.Revision)
			return
		}
		if err != nil {
			h.log.Info("order to empty not answered", "cause", err.Error())
		}
		if !timer.Pause(h.timer, h.ctx.Done(), answerPause) {
			return
		}
	}
}
