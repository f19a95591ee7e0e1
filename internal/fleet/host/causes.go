package host

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/admin"
	"github.com/kingcupquay/kingcupquay/internal/operator/cause"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	flushEvery   = time.Minute
	storyLimit   = 200
	causePrefix  = "cause/"
	causePage    = 50
	flushTimeout = 5 * time.Second
)

// flushCauses writes the events since the last flush as one value.
func (h *Host) flushCauses() {
	events, mark := h.ring.Unflushed()
	if len(events) == 0 {
		return
	}
	value, err := json.Marshal(events)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	key := fmt.Sprintf("%s%013d/%s", causePrefix, h.timer.Now().UnixMilli(), h.settings.Name)
	if chunk.PutOnce(ctx, h.store, key, chunk.Pack(value)) == nil {
		h.ring.Flushed(mark)
	}
}

// why gathers the events about a subject from all hosts and the store.
func (h *Host) why(ctx context.Context, subject string) admin.Story {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	story := admin.Story{Subject: subject, Events: h.ring.About(subject, storyLimit)}
	h.mu.Lock()
	hosts := h.view.Hosts()
	h.mu.Unlock()
	for _, other := range hosts {
		events, err := h.askCauses(ctx, other.Address, subject)
		if err != nil {
			story.Missing = append(story.Missing, "host "+other.Name+" (events since its last flush)")
			continue
		}
		story.Events = append(story.Events, events...)
	}
	stored, err := h.storedCauses(ctx, subject)
	if err != nil {
		story.Missing = append(story.Missing, "platform store (events of lost hosts)")
	}
	story.Events = merge(story.Events, stored)
	return story
}

func (h *Host) askCauses(ctx context.Context, address, subject string) ([]cause.Event, error) {
	client, err := h.pool.Peer(address, 0)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := client.Causes(ctx, &wire.CausesRequest{Subject: subject, Limit: storyLimit})
	if err != nil {
		return nil, err
	}
	var events []cause.Event
	return events, json.Unmarshal(reply.GetEvents(), &events)
}

func (h *Host) storedCauses(ctx context.Context, subject string) ([]cause.Event, error) {
	entries, _, err := store.RangeAll(ctx, h.store, causePrefix, causePage)
	if err != nil {
		return nil, err
	}
	var found []cause.Event
	for _, entry := range entries {
		value, err := chunk.Unpack(entry.Value)
		if err != nil {
			continue
		}
		var events []cause.Event
		if err := json.Unmarshal(value, &events); err != nil {
			continue
		}
		for _, e := range events {
			if slices.Contains(e.Subjects, subject) {
				found = append(found, e)
			}
		}
	}
	return found, nil
}

// merge joins two lists by time and drops what stands in both.
func merge(a, b []cause.Event) []cause.Event {
	all := append(a, b...)
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return slices.CompactFunc(all, func(x, y cause.Event) bool {
		return x.At.Equal(y.At) && x.Host == y.Host && x.Kind == y.Kind && x.Cause == y.Cause
	})
}
