package host

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/distribution"
	"github.com/kingcupquay/kingcupquay/internal/operator/revision"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	textTickInterval = 250 * time.Millisecond
	// transferTimeout limits one call of a transfer between hosts, loadTimeout one
	// read of the whole document from the store.
	transferTimeout = 3 * time.Second
	loadTimeout     = 5 * time.Second
)

// textSync distributes the services text. It performs the actions of the host's
// distribution.Node, which decides when to push, fetch, read and watch, and puts
// texts into force.
type textSync struct {
	host *Host
	// baseCtx is cancelled when the host stops.
	baseCtx context.Context
	cancel  context.CancelFunc

	// adoptMu is held while a text is put into force. It is locked before mu.
	adoptMu sync.Mutex

	mu      sync.Mutex
	node    *distribution.Node
	history distribution.History
	// sections caches the sections of the text of revision sectionsRevision, nil
	// before the first use.
	sections         *revision.Sections
	sectionsRevision int64
	// highestRejected is the highest revision that the parser refused.
	highestRejected int64
	// cancelWatch cancels the latest watch; nil before the first and after
	// stopWatch.
	cancelWatch context.CancelFunc
}

func newTextSync(h *Host) *textSync {
	baseCtx, cancel := context.WithCancel(context.Background())
	node := distribution.NewNode(distribution.Member{Name: h.settings.Name, Zone: h.settings.Zone})
	return &textSync{host: h, baseCtx: baseCtx, cancel: cancel, node: node}
}

func (t *textSync) stop() { t.cancel() }

// tick passes the live hosts to the node and starts the actions that are due.
func (t *textSync) tick(now time.Time) {
	members := t.members(now)
	t.mu.Lock()
	t.node.SetMembers(members)
	actions := t.node.Tick(now)
	t.mu.Unlock()
	t.execute(actions)
}

func (t *textSync) members(now time.Time) []distribution.Member {
	h := t.host
	h.mu.Lock()
	defer h.mu.Unlock()
	var members []distribution.Member
	for _, name := range h.view.Live(now, "") {
		known, _ := h.view.Host(name)
		members = append(members, distribution.Member{Name: name, Zone: known.Zone})
	}
	return members
}

// handlePeerRevision handles a report of the revision in force on another host,
// which may cause a fetch.
func (t *textSync) handlePeerRevision(peer string, number int64) {
	t.mu.Lock()
	actions := t.node.RevisionReported(t.host.timer.Now(), peer, number)
	t.mu.Unlock()
	t.execute(actions)
}

// execute starts the actions and does not wait for them.
func (t *textSync) execute(actions []distribution.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case distribution.Push:
			go t.push(a.To)
		case distribution.Fetch:
			go t.fetch(a.From)
		case distribution.Read:
			go t.readStore()
		case distribution.Watch:
			go t.watch()
		case distribution.Unwatch:
			t.stopWatch()
		}
	}
}

// adoptApplied puts into force a text that an operator applied at this host.
func (t *textSync) adoptApplied(text *services.Text) { t.adopt(text, distribution.FromOperator, "") }

// adopt puts a text into force if it is newer than the current one. peer is the
// host that it came from, if any.
func (t *textSync) adopt(text *services.Text, origin distribution.Origin, peer string) {
	t.adoptMu.Lock()
	defer t.adoptMu.Unlock()
	t.adoptLocked(text, origin, peer)
}

// adoptLocked is adopt for a caller that holds adoptMu.
func (t *textSync) adoptLocked(text *services.Text, origin distribution.Origin, peer string) {
	h := t.host
	current := h.text.Load()
	if current != nil && current.Revision() >= text.Revision() {
		return
	}
	h.dispatcher.SetServices(text)
	h.keepers.SetServices(text)
	h.text.Store(text)
	h.noteBackends(current, text)
	h.note("services text in force", "revision "+strconv.FormatInt(text.Revision(), 10), "services", h.settings.Name)
	t.mu.Lock()
	if current != nil {
		t.history.Add(distribution.NewDelta(current.Revision(), text.Revision(), current.Source(), text.Source()))
	}
	actions := t.node.Adopted(h.timer.Now(), text.Revision(), origin, peer)
	t.mu.Unlock()
	t.execute(actions)
}

// adoptSource parses a text from a peer or the store and puts it into force if
// it is newer than the current one and valid.
func (t *textSync) adoptSource(source []byte, number int64, origin distribution.Origin, peer string) {
	t.adoptMu.Lock()
	defer t.adoptMu.Unlock()
	current := t.host.text.Load()
	if current != nil && current.Revision() >= number {
		return
	}
	text, err := parseNext(current, source, number)
	if err != nil {
		t.noteRejected(number, err)
		return
	}
	t.adoptLocked(text, origin, peer)
}

// parseNext parses a source as the successor of current, which may be nil.
func parseNext(current *services.Text, source []byte, number int64) (*services.Text, error) {
	if current == nil {
		return services.Parse(source, number)
	}
	return services.ParseIncremental(current, source, number)
}

// noteRejected records that a text was refused, once per revision.
func (t *textSync) noteRejected(number int64, err error) {
	t.mu.Lock()
	alreadyNoted := t.highestRejected >= number
	t.highestRejected = max(t.highestRejected, number)
	t.mu.Unlock()
	if !alreadyNoted {
		t.host.note("services text unusable", "revision "+strconv.FormatInt(number, 10)+" is refused: "+err.Error(), "services", t.host.settings.Name)
	}
}

// inForce returns the revision and the source of the text in force, 0 and nil
// before the first.
func (t *textSync) inForce() (int64, []byte) {
	text := t.host.text.Load()
	if text == nil {
		return 0, nil
	}
	return text.Revision(), text.Source()
}

// currentSections returns the sections of the text in force.
func (t *textSync) currentSections() *revision.Sections {
	number, source := t.inForce()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sections == nil || t.sectionsRevision != number {
		t.sections, t.sectionsRevision = revision.NewSections(source), number
	}
	return t.sections
}

// readStore reads the document with the services text from the store once and
// puts a newer one into force.
func (t *textSync) readStore() {
	_, ok := t.loadNewer()
	t.mu.Lock()
	t.node.ReadEnded(t.host.timer.Now(), ok)
	t.mu.Unlock()
}

// loadNewer reads the document from the store and puts a newer one into force.
// It returns the store revision to watch from.
func (t *textSync) loadNewer() (next int64, ok bool) {
	ctx, cancel := context.WithTimeout(t.baseCtx, loadTimeout)
	defer cancel()
	number, _ := t.inForce()
	d, modRevision, failure := revision.LoadIfNewer(ctx, t.host.store, number, t.currentSections)
	if failure != nil {
		return 0, false
	}
	if d.Revision > number {
		t.adoptSource([]byte(d.Source), d.Revision, distribution.FromStore, "")
	}
	return modRevision + 1, true
}

// watch reads the document, and again after each change, until the watch fails
// or stopWatch is called.
func (t *textSync) watch() {
	ctx, cancel := context.WithCancel(t.baseCtx)
	defer cancel()
	t.mu.Lock()
	t.cancelWatch = cancel
	t.mu.Unlock()
	if next, ok := t.loadNewer(); ok && ctx.Err() == nil {
		_ = t.host.store.Watch(ctx, revision.CurrentKey, next, func(store.Event) { t.loadNewer() })
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if ctx.Err() == nil {
		t.node.WatchEnded(t.host.timer.Now())
	}
}

func (t *textSync) stopWatch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelWatch != nil {
		t.cancelWatch()
		t.cancelWatch = nil
	}
}

// push offers the revision in force to another host.
func (t *textSync) push(to string) {
	offer := t.newOffer()
	state, err := t.sendOffer(to, offer)
	t.mu.Lock()
	actions := t.node.PushEnded(t.host.timer.Now(), to, offer.GetRevision(), state.GetRevision(), err == nil)
	t.mu.Unlock()
	t.execute(actions)
}

func (t *textSync) sendOffer(to string, offer *wire.TextOffer) (*wire.TextState, error) {
	client, err := t.peerClient(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(t.baseCtx, transferTimeout)
	defer cancel()
	return client.Offer(ctx, offer)
}
