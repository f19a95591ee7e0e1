package host

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/revision"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/operator/spread"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	textTick = 250 * time.Millisecond
	// transferTimeout bounds one message of a transfer between hosts, readTimeout
	// one read of the whole document.
	transferTimeout = 3 * time.Second
	loadTimeout     = 5 * time.Second
)

// texts is the shell of the host's spread.Node: it carries out the node's
// actions and puts texts into force.
type texts struct {
	host *Host
	// done ends with the host; cancel ends it.
	done   context.Context
	cancel context.CancelFunc

	// adopts is held while a text is put into force, before mu.
	adopts sync.Mutex

	mu      sync.Mutex
	node    *spread.Node
	history spread.History
	// sections are those of the text of sectionsOf, made when first asked for.
	sections   *revision.Sections
	sectionsOf int64
	// unusable is the highest revision that was refused by the parser.
	unusable int64
	// unwatch ends the watch under way; nil for none.
	unwatch context.CancelFunc
}

func newTexts(h *Host) *texts {
	done, cancel := context.WithCancel(context.Background())
	node := spread.NewNode(spread.Member{Name: h.settings.Name, Zone: h.settings.Zone})
	return &texts{host: h, done: done, cancel: cancel, node: node}
}

func (t *texts) stop() { t.cancel() }

// tick gives the node the live hosts and carries out what is due.
func (t *texts) tick(now time.Time) {
	members := t.members(now)
	t.mu.Lock()
	t.node.Members(members)
	actions := t.node.Tick(now)
	t.mu.Unlock()
	t.carryOut(actions)
}

func (t *texts) members(now time.Time) []spread.Member {
	h := t.host
	h.mu.Lock()
	defer h.mu.Unlock()
	var members []spread.Member
	for _, name := range h.view.Live(now, "") {
		known, _ := h.view.Host(name)
		members = append(members, spread.Member{Name: name, Zone: known.Zone})
	}
	return members
}

// offered takes the revision that a host says it has in force.
func (t *texts) offered(peer string, number int64) {
	t.mu.Lock()
	actions := t.node.Offered(t.host.timer.Now(), peer, number)
	t.mu.Unlock()
	t.carryOut(actions)
}

// carryOut starts the actions; none of them is waited for.
func (t *texts) carryOut(actions []spread.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case spread.Push:
			go t.push(a.To)
		case spread.Fetch:
			go t.fetch(a.From)
		case spread.Read:
			go t.readStore()
		case spread.Watch:
			go t.watch()
		case spread.Unwatch:
			t.endWatch()
		}
	}
}

// accepted puts a text into force that an operator applied at this host.
func (t *texts) accepted(text *services.Text) { t.adopt(text, spread.FromOperator, "") }

// adopt puts a text into force if it is newer than the one in force.
func (t *texts) adopt(text *services.Text, origin spread.Origin, peer string) {
	t.adopts.Lock()
	defer t.adopts.Unlock()
	t.adoptLocked(text, origin, peer)
}

func (t *texts) adoptLocked(text *services.Text, origin spread.Origin, peer string) {
	h := t.host
	current := h.text.Load()
	if current != nil && current.Revision() >= text.Revision() {
		return
	}
	h.dispatcher.SetText(text)
	h.keepers.SetText(text)
	h.text.Store(text)
	h.noteBackends(current, text)
	h.note("services text in force", "revision "+strconv.FormatInt(text.Revision(), 10), "services", h.settings.Name)
	t.mu.Lock()
	if current != nil {
		t.history.Add(spread.Between(current.Revision(), text.Revision(), current.Source(), text.Source()))
	}
	actions := t.node.Adopted(h.timer.Now(), text.Revision(), origin, peer)
	t.mu.Unlock()
	t.carryOut(actions)
}

// adoptSource checks a text that came from elsewhere and puts it into force. A
// text that the parser refuses never comes into force.
func (t *texts) adoptSource(source []byte, number int64, origin spread.Origin, peer string) {
	t.adopts.Lock()
	defer t.adopts.Unlock()
	current := t.host.text.Load()
	if current != nil && current.Revision() >= number {
		return
	}
	text, err := follow(current, source, number)
	if err != nil {
		t.noteUnusable(number, err)
		return
	}
	t.adoptLocked(text, origin, peer)
}

// follow checks a source as the text that follows current, which may be nil.
func follow(current *services.Text, source []byte, number int64) (*services.Text, error) {
	if current == nil {
		return services.Parse(source, number)
	}
	return services.Amend(current, source, number)
}

// noteUnusable notes a refused text once a revision.
func (t *texts) noteUnusable(number int64, err error) {
	t.mu.Lock()
	again := t.unusable >= number
	t.unusable = max(t.unusable, number)
	t.mu.Unlock()
	if !again {
		t.host.note("services text unusable", "revision "+strconv.FormatInt(number, 10)+" is refused: "+err.Error(), "services", t.host.settings.Name)
	}
}

// inForce returns the revision and the source in force; 0 before the first.
func (t *texts) inForce() (int64, []byte) {
	text := t.host.text.Load()
	if text == nil {
		return 0, nil
	}
	return text.Revision(), text.Source()
}

// cut returns the sections of the text in force.
func (t *texts) cut() *revision.Sections {
	number, source := t.inForce()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sections == nil || t.sectionsOf != number {
		t.sections, t.sectionsOf = revision.NewSections(source), number
	}
	return t.sections
}

// readStore reads the document and puts a newer one into force.
func (t *texts) readStore() {
	_, ok := t.load()
	t.mu.Lock()
	t.node.ReadEnded(t.host.timer.Now(), ok)
	t.mu.Unlock()
}

// load reads the document; it returns the store's revision to watch from.
func (t *texts) load() (next int64, ok bool) {
	ctx, cancel := context.WithTimeout(t.done, loadTimeout)
	defer cancel()
	number, _ := t.inForce()
	d, modRevision, failure := revision.LoadNewer(ctx, t.host.store, number, t.cut)
	if failure != nil {
		return 0, false
	}
	if d.Revision > number {
		t.adoptSource([]byte(d.Source), d.Revision, spread.FromStore, "")
	}
	return modRevision + 1, true
}

// watch reads the document, then again with each change, until the stream
// breaks or the node ends it.
func (t *texts) watch() {
	ctx, cancel := context.WithCancel(t.done)
	defer cancel()
	t.mu.Lock()
	t.unwatch = cancel
	t.mu.Unlock()
	if next, ok := t.load(); ok && ctx.Err() == nil {
		_ = t.host.store.Watch(ctx, revision.CurrentKey, next, func(store.Event) { t.load() })
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if ctx.Err() == nil {
		t.node.WatchEnded(t.host.timer.Now())
	}
}

func (t *texts) endWatch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unwatch != nil {
		t.unwatch()
		t.unwatch = nil
	}
}

// push offers the revision in force to a host.
func (t *texts) push(to string) {
	offer := t.newOffer()
	state, err := t.sendOffer(to, offer)
	t.mu.Lock()
	actions := t.node.PushEnded(t.host.timer.Now(), to, offer.GetRevision(), state.GetRevision(), err == nil)
	t.mu.Unlock()
	t.carryOut(actions)
}

func (t *texts) sendOffer(to string, offer *wire.TextOffer) (*wire.TextState, error) {
	client, err := t.peer(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(t.done, transferTimeout)
	defer cancel()
	return client.Offer(ctx, offer)
}
