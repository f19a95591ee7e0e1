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
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/operator/admin"
	"github.com/kingcupquay/kingcupquay/internal/operator/cause"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	flushEvery   = time.Minute
	flushTimeout = 5 * time.Second
	// whyTimeout bounds one explanation, hosts that don't answer included.
	whyTimeout = 10 * time.Second
	storyLimit = 200
	// storyWindow is how far back the store is searched for an explanation.
	storyWindow = 2 * time.Hour
	// causeKeep is how long flushed events are kept; each flush deletes up to
	// causeClean older ones.
	causeKeep   = 24 * time.Hour
	causeClean  = 32
	causePrefix = "cause/"
	causePage   = 50
	// maxSubjects bounds what one explanation looks for.
	maxSubjects = 64
	itemDigits  = 6
)

func causeKey(at time.Time, host string) string {
	return fmt.Sprintf("%s%013d/%s", causePrefix, at.UnixMilli(), host)
}

// flushCauses writes the events since the last flush as one value and deletes
// old ones.
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
	now := h.timer.Now()
	if chunk.PutOnce(ctx, h.store, causeKey(now, h.settings.Name), chunk.Pack(value)) != nil {
		return
	}
	h.ring.Flushed(mark)
	h.cleanCauses(ctx, now)
}

func (h *Host) cleanCauses(ctx context.Context, now time.Time) {
	old, _, err := h.store.Range(ctx, causePrefix, causeKey(now.Add(-causeKeep), ""), causeClean)
	if err != nil || len(old) == 0 {
		return
	}
	var txn store.Txn
	for _, entry := range old {
		txn.Deletes = append(txn.Deletes, entry.Key)
	}
	_, _ = h.store.Commit(ctx, txn)
}

// why explains what happened to a subject: it gathers the events about it and
// about what it is linked to from all hosts and the store.
func (h *Host) why(ctx context.Context, subject string) admin.Story {
	ctx, cancel := context.WithTimeout(ctx, whyTimeout)
	defer cancel()
	g := &gathering{host: h, subjects: []string{subject}}
	g.stored(ctx)
	for range causeRounds {
		g.round(ctx)
		g.subjects = bounded(cause.Reach(subject, g.events, h.links), subject)
	}
	return admin.Story{Answer: cause.Explain(subject, g.events, h.links), Missing: g.missing()}
}

// causeRounds is how often the links found so far are followed to the hosts.
const causeRounds = 2

// bounded keeps the subject itself among the first names.
func bounded(names []string, subject string) []string {
	names = slices.DeleteFunc(names, func(name string) bool { return name == subject })
	return append([]string{subject}, names[:min(len(names), maxSubjects)]...)
}

// gathering collects the events of one explanation.
type gathering struct {
	host     *Host
	subjects []string
	events   []cause.Event
	// kept holds all events that the store gave; lastFlush the time of each
	// host's last flush.
	kept      []cause.Event
	lastFlush map[string]time.Time
	storeDown bool
	silent    []string
}

// round takes the events about the subjects from every host and the store.
func (g *gathering) round(ctx context.Context) {
	h := g.host
	h.mu.Lock()
	hosts := h.view.Hosts()
	h.mu.Unlock()
	found := h.ring.AboutAny(g.subjects, storyLimit)
	g.silent = nil
	for _, other := range hosts {
		events, err := h.askCauses(ctx, other.Address, g.subjects)
		if err != nil {
			g.silent = append(g.silent, other.Name)
		}
		found = append(found, events...)
	}
	for _, e := range g.kept {
		if slices.ContainsFunc(e.Subjects, func(s string) bool { return slices.Contains(g.subjects, s) }) {
			found = append(found, e)
		}
	}
	g.events = merge(found)
}

// stored reads what the hosts flushed within the window.
func (g *gathering) stored(ctx context.Context) {
	g.lastFlush = make(map[string]time.Time)
	now := g.host.timer.Now()
	from, end := causeKey(now.Add(-storyWindow), ""), store.PrefixEnd(causePrefix)
	for {
		entries, _, err := g.host.store.Range(ctx, from, end, causePage)
		if err != nil {
			g.storeDown = true
			return
		}
		for _, entry := range entries {
			g.keep(entry)
		}
		if len(entries) < causePage {
			return
		}
		from = entries[len(entries)-1].Key + "\x00"
	}
}

func (g *gathering) keep(entry store.Entry) {
	at, host, _ := strings.Cut(strings.TrimPrefix(entry.Key, causePrefix), "/")
	if ms, err := strconv.ParseInt(at, 10, 64); err == nil {
		g.lastFlush[host] = time.UnixMilli(ms)
	}
	value, err := chunk.Unpack(entry.Value)
	if err != nil {
		return
	}
	var events []cause.Event
	if json.Unmarshal(value, &events) == nil {
		g.kept = append(g.kept, events...)
	}
}

// missing says what could not be reached, and up to when a host that does not
// answer is known.
func (g *gathering) missing() []string {
	var list []string
	for _, name := range g.silent {
		known := "none of its events are known"
		if at, ok := g.lastFlush[name]; ok {
			known = "its events are known up to its last flush at " + at.UTC().Format(time.RFC3339)
		}
		if g.storeDown {
			known = "its flushed events can't be read now"
		}
		list = append(list, "host "+name+": "+known)
	}
	if g.storeDown {
		list = append(list, "platform store: events of lost hosts")
	}
	sort.Strings(list)
	return list
}

func (h *Host) askCauses(ctx context.Context, address string, subjects []string) ([]cause.Event, error) {
	client, err := h.pool.Peer(address, 0)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := client.Causes(ctx, &wire.CausesRequest{Subjects: subjects, Limit: storyLimit})
	if err != nil {
		return nil, err
	}
	var events []cause.Event
	return events, json.Unmarshal(reply.GetEvents(), &events)
}

// merge orders events by time and drops what was found twice.
func merge(all []cause.Event) []cause.Event {
	sort.SliceStable(all, func(i, j int) bool {
		a, b := &all[i], &all[j]
		return a.At.Before(b.At) || (a.At.Equal(b.At) && a.Host+a.Kind+a.Cause < b.Host+b.Kind+b.Cause)
	})
	return slices.CompactFunc(all, func(x, y cause.Event) bool {
		return x.At.Equal(y.At) && x.Host == y.Host && x.Kind == y.Kind && x.Cause == y.Cause && slices.Equal(x.Subjects, y.Subjects)
	})
}

// links says what the services text and the names themselves know of a
// subject: an item belongs to its job, a service needs its back ends and the
// services it depends on, a host or back end stands in its zone.
func (h *Host) links(subject string) []cause.Link {
	var links []cause.Link
	i := len(subject) - itemDigits - 1
	switch {
	case i > 0 && strings.HasPrefix(subject, "batch-") && subject[i] == '-':
		links = append(links, cause.Link{To: subject[:i], Reason: "is an item of"})
	case strings.HasPrefix(subject, "batch-"):
		links = append(links, cause.Link{To: zone.ShardName(zone.Shard(subject, h.settings.Shards)), Reason: "is kept by"})
	case strings.Contains(subject, "/") && !strings.HasPrefix(subject, "shard/"):
		links = append(links, cause.Link{To: zone.ShardName(zone.Shard(subject, h.settings.Shards)), Reason: "is kept by"})
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
