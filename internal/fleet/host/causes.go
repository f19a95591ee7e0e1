package host

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/admin"
	"github.com/kingcupquay/kingcupquay/internal/operator/cause"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	flushInterval = time.Minute
	flushTimeout  = 5 * time.Second
	// explainTimeout limits one explanation, including the wait for hosts that
	// don't respond.
	explainTimeout    = 10 * time.Second
	maxEventsPerQuery = 200
	// explainWindow is how far back flushed events are read for an explanation.
	explainWindow = 2 * time.Hour
	// eventRetention is how long flushed events are kept. Each flush deletes up to
	// maxDeletesPerFlush older values.
	eventRetention     = 24 * time.Hour
	maxDeletesPerFlush = 32
	eventPrefix        = "cause/"
	eventPageSize      = 50
	// maxSubjects limits the linked subjects of one explanation.
	maxSubjects = 64
	// itemDigits is the number of digits at the end of an item's ID.
	itemDigits = 6
)

func eventKey(at time.Time, host string) string {
	return fmt.Sprintf("%s%013d/%s", eventPrefix, at.UnixMilli(), host)
}

// flushEvents writes the events since the last flush to the store as one value
// and deletes old values.
func (h *Host) flushEvents() {
	events, mark := h.eventRing.Unflushed()
	if len(events) == 0 {
		return
	}
	value, err := json.Marshal(events)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	now := h.timer.Now()
	if chunk.PutOnce(ctx, h.store, eventKey(now, h.settings.Name), chunk.Pack(value)) != nil {
		return
	}
	h.eventRing.ConfirmFlushed(mark)
	h.deleteOldEvents(ctx, now)
}

func (h *Host) deleteOldEvents(ctx context.Context, now time.Time) {
	old, _, err := h.store.Range(ctx, eventPrefix, eventKey(now.Add(-eventRetention), ""), maxDeletesPerFlush)
	if err != nil || len(old) == 0 {
		return
	}
	keys := make([]string, 0, len(old))
	for _, entry := range old {
		keys = append(keys, entry.Key)
	}
	_, _ = store.DeleteAll(ctx, h.store, nil, keys)
}

// explain returns what happened to a subject, from the events about it and about
// the subjects that it is linked to. The events are read from all hosts and from
// the store.
func (h *Host) explain(ctx context.Context, subject string) admin.Explanation {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	q := &eventQuery{host: h, subjects: []string{subject}}
	q.readStored(ctx)
	for range explainRounds {
		q.collect(ctx)
		q.subjects = limitSubjects(cause.RelatedSubjects(subject, q.events, h.links), subject)
	}
	return admin.Explanation{Diagnosis: cause.Explain(subject, q.events, h.links), Missing: q.missing()}
}

// explainRounds is the number of times the events are collected, each time with
// the subjects that the events found so far link to.
const explainRounds = 2

// limitSubjects returns the subject followed by up to maxSubjects of the other
// names.
func limitSubjects(names []string, subject string) []string {
	names = slices.DeleteFunc(names, func(name string) bool { return name == subject })
	return append([]string{subject}, names[:min(len(names), maxSubjects)]...)
}

// eventQuery collects the events of one explanation.
type eventQuery struct {
	host     *Host
	subjects []string
	events   []cause.Event
	// storedEvents holds all events read from the store, lastFlush the time of
	// each host's last flush.
	storedEvents []cause.Event
	lastFlush    map[string]time.Time
	// storeDown reports whether reading the store failed.
	storeDown bool
	// unanswered are the hosts whose events could not be fetched in the last
	// round.
	unanswered []string
}

// collect replaces the events by those about the current subjects, from this
// host, all others and the store.
func (q *eventQuery) collect(ctx context.Context) {
	h := q.host
	h.mu.Lock()
	hosts := h.view.Hosts()
	h.mu.Unlock()
	found := h.eventRing.AboutAny(q.subjects, maxEventsPerQuery)
	q.unanswered = nil
	for _, other := range hosts {
		events, err := h.fetchEvents(ctx, other.Address, q.subjects)
		if err != nil {
			q.unanswered = append(q.unanswered, other.Name)
		}
		found = append(found, events...)
	}
	for _, e := range q.storedEvents {
		if slices.ContainsFunc(e.Subjects, func(s string) bool { return slices.Contains(q.subjects, s) }) {
			found = append(found, e)
		}
	}
	q.events = mergeEvents(found)
}

// readStored reads the events that the hosts flushed within explainWindow.
func (q *eventQuery) readStored(ctx context.Context) {
	q.lastFlush = make(map[string]time.Time)
	now := q.host.timer.Now()
	from, end := eventKey(now.Add(-explainWindow), ""), store.PrefixEnd(eventPrefix)
	for {
		entries, _, err := q.host.store.Range(ctx, from, end, eventPageSize)
		if err != nil {
			q.storeDown = true
			return
		}
		for _, entry := range entries {
			q.addFlush(entry)
		}
		if len(entries) < eventPageSize {
			return
		}
		from = entries[len(entries)-1].Key + "\x00"
	}
}

func (q *eventQuery) addFlush(entry store.Entry) {
	at, host, _ := strings.Cut(strings.TrimPrefix(entry.Key, eventPrefix), "/")
	if ms, err := strconv.ParseInt(at, 10, 64); err == nil {
		q.lastFlush[host] = time.UnixMilli(ms)
	}
	value, err := chunk.Unpack(entry.Value)
	if err != nil {
		return
	}
	var events []cause.Event
	if json.Unmarshal(value, &events) == nil {
		q.storedEvents = append(q.storedEvents, events...)
	}
}

// missing lists the hosts that did not respond, with the time up to which their
// events are known, and the store if it could not be read.
func (q *eventQuery) missing() []string {
	var list []string
	for _, name := range q.unanswered {
		known := "none of its events are known"
		if at, ok := q.lastFlush[name]; ok {
			known = "its events are known up to its last flush at " + at.UTC().Format(time.RFC3339)
		}
		if q.storeDown {
			known = "its flushed events can't be read now"
		}
		list = append(list, "host "+name+": "+known)
	}
	if q.storeDown {
		list = append(list, "platform store: events of lost hosts")
	}
	sort.Strings(list)
	return list
}

func (h *Host) fetchEvents(ctx context.Context, address string, subjects []string) ([]cause.Event, error) {
	client, err := h.pool.Client(address, 0)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := client.Causes(ctx, &wire.CausesRequest{Subjects: subjects, Limit: maxEventsPerQuery})
	if err != nil {
		return nil, err
	}
	var events []cause.Event
	return events, json.Unmarshal(reply.GetEvents(), &events)
}

// mergeEvents sorts events by time and removes duplicates.
func mergeEvents(all []cause.Event) []cause.Event {
	sort.SliceStable(all, func(i, j int) bool {
		a, b := &all[i], &all[j]
		return a.At.Before(b.At) || (a.At.Equal(b.At) && a.Host+a.Kind+a.Cause < b.Host+b.Kind+b.Cause)
	})
	return slices.CompactFunc(all, func(x, y cause.Event) bool {
		return x.At.Equal(y.At) && x.Host == y.Host && x.Kind == y.Kind && x.Cause == y.Cause && slices.Equal(x.Subjects, y.Subjects)
	})
}

// links returns the links of a subject that follow from its name, the known
// hosts and the services text: from an item to its job, from a job or
// idempotency key to its shard, from a host or backend server to its zone, and
// from a service to its backend servers and the services it depends on.
func (h *Host) links(subject string) []cause.Link {
	var links []cause.Link
	i := len(subject) - itemDigits - 1
	switch {
	case i > 0 && strings.HasPrefix(subject, "batch-") && subject[i] == '-':
		links = append(links, cause.Link{To: subject[:i], Reason: "is an item of"})
	case strings.HasPrefix(subject, "batch-"):
		links = append(links, cause.Link{To: rendezvous.ShardName(rendezvous.Shard(subject, h.settings.Shards)), Reason: "is kept by"})
	case strings.Contains(subject, "/") && !strings.HasPrefix(subject, "shard/"):
		links = append(links, cause.Link{To: rendezvous.ShardName(rendezvous.Shard(subject, h.settings.Shards)), Reason: "is kept by"})
	}
	h.mu.Lock()
	if known, ok := h.view.Host(subject); ok && known.Zone != "" {
		links = append(links, cause.Link{To: known.Zone, Reason: "stands in"})
	}
	h.mu.Unlock()
	text := h.text.Load()
	if text == nil {
		return links
	}
	if b, ok := text.Backend(subject); ok {
		links = append(links, cause.Link{To: b.Zone, Reason: "stands in"})
	}
	s, ok := text.Service(subject)
	if !ok {
		return links
	}
	for _, b := range text.Backends() {
		if slices.Contains(b.Services, s.Name) || (s.Model != "" && slices.Contains(b.Models, s.Model)) {
			links = append(links, cause.Link{To: b.Name, Reason: "is served by"})
		}
	}
	for _, name := range s.DependsOn {
		links = append(links, cause.Link{To: name, Reason: "depends on"})
	}
	return links
}
