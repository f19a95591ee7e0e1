package host

import (
	"context"
	"strconv"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/operator/revision"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

const (
	textEvery = time.Second
	// watchersPerZone is how many hosts of a zone read the platform's text.
	watchersPerZone = 2
)

// adopt puts a text into force if it is newer than the one in force.
func (h *Host) adopt(text *services.Text) {
	h.adopts.Lock()
	defer h.adopts.Unlock()
	if current := h.text.Load(); current != nil && current.Revision() >= text.Revision() {
		return
	}
	h.dispatcher.SetText(text)
	h.keepers.SetText(text)
	h.text.Store(text)
	h.note("services text in force", "revision "+strconv.FormatInt(text.Revision(), 10), "services", h.settings.Name)
}

// pollText reads the text from the store if this host is a watcher of its zone
// or has no text yet.
func (h *Host) pollText() {
	h.mu.Lock()
	live := h.view.Live(h.timer.Now(), h.settings.Zone)
	h.mu.Unlock()
	watches := zone.Rank(live, h.settings.Name, "watcher") < watchersPerZone
	if !watches && h.text.Load() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	d, _, failure := revision.Load(ctx, h.store)
	if failure != nil || d.Revision == 0 {
		return
	}
	h.adoptSource([]byte(d.Source), d.Revision)
}

// fetchText reads a newer text from a peer.
func (h *Host) fetchText(address string) {
	client, err := h.pool.Peer(address, 0)
	if err != nil {
		return
	}
	var newerThan int64
	if text := h.text.Load(); text != nil {
		newerThan = text.Revision()
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	reply, err := client.Text(ctx, &wire.TextRequest{NewerThan: newerThan})
	if err != nil || reply.GetRevision() <= newerThan {
		return
	}
	h.adoptSource(reply.GetSource(), reply.GetRevision())
}

func (h *Host) adoptSource(source []byte, number int64) {
	if current := h.text.Load(); current != nil && current.Revision() >= number {
		return
	}
	text, err := services.Parse(source, number)
	if err != nil {
		h.note("services text unusable", err.Error(), "services", h.settings.Name)
		return
	}
	h.adopt(text)
}
