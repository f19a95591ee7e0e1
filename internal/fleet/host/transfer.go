package host

import (
	"bytes"
	"context"
	"crypto/sha256"

	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/distribution"
)

const (
	// maxOfferDeltaBytes limits the inserted text of a delta that is sent with an
	// offer.
	maxOfferDeltaBytes = 16 << 10
	// maxSourceBytes limits a text that is sent complete. A longer one is
	// transferred by sections.
	maxSourceBytes = 32 << 10
	// maxSectionsPerMessage limits the sections in one reply.
	maxSectionsPerMessage = 8
)

// peerClient returns a client of the host with that name.
func (t *textSync) peerClient(name string) (wire.PeerClient, error) {
	address, ok := t.host.peerAddress(name)
	if !ok {
		return nil, trace.NotFound("host %s has no known address", name)
	}
	return t.host.pool.Client(address, 0)
}

// newOffer returns an offer of the revision in force. It includes the delta from
// the previous revision if that is short enough.
func (t *textSync) newOffer() *wire.TextOffer {
	number, _ := t.inForce()
	offer := &wire.TextOffer{Revision: number, Host: t.host.settings.Name}
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.history.Latest(); ok && d.To == number && len(d.Insert) <= maxOfferDeltaBytes {
		offer.Delta = deltaMessage(&d)
	}
	return offer
}

// handleOffer applies a pushed revision and returns the one in force afterwards.
// If the delta is absent or does not apply, the text is fetched from the host
// that pushed it.
func (t *textSync) handleOffer(in *wire.TextOffer) int64 {
	number, source := t.inForce()
	if d := in.GetDelta(); d != nil && number > 0 && d.GetFrom() == number {
		if text, ok := deltaFromMessage(d).Apply(source); ok {
			t.adoptSource(text, d.GetTo(), distribution.FromPeer, in.GetHost())
		}
	}
	number, _ = t.inForce()
	if number < in.GetRevision() {
		t.handlePeerRevision(in.GetHost(), in.GetRevision())
	}
	return number
}

// reply returns what another host lacks of the text in force: the sections that
// it asks for or else, in this order of preference, the deltas from its revision,
// a short text itself, or the names of the sections.
func (t *textSync) reply(in *wire.TextRequest) *wire.TextReply {
	number, source := t.inForce()
	if number <= in.GetNewerThan() {
		return &wire.TextReply{Revision: number}
	}
	sum := sha256.Sum256(source)
	reply := &wire.TextReply{Revision: number, Digest: sum[:]}
	switch deltas, ok := t.deltasSince(in.GetNewerThan(), number); {
	case len(in.GetSections()) > 0:
		sections := t.currentSections()
		for _, name := range in.GetSections()[:min(len(in.GetSections()), maxSectionsPerMessage)] {
			reply.Sections = append(reply.Sections, packSection(sections.Get(name)))
		}
	case ok:
		reply.Deltas = deltas
	case len(source) <= maxSourceBytes:
		reply.Source = source
	default:
		reply.Names = t.currentSections().Names()
	}
	return reply
}

// packSection compresses a section; ok false, for an unknown one, gives nil.
func packSection(section []byte, ok bool) []byte {
	if !ok {
		return nil
	}
	return chunk.Pack(section)
}

// deltasSince returns the deltas from one revision to another; ok is false if the
// history does not have them.
func (t *textSync) deltasSince(from, to int64) ([]*wire.TextDelta, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	deltas, ok := t.history.Since(from)
	if !ok || deltas[len(deltas)-1].To != to {
		return nil, false
	}
	messages := make([]*wire.TextDelta, len(deltas))
	for i := range deltas {
		messages[i] = deltaMessage(&deltas[i])
	}
	return messages, true
}

// fetch fetches a newer text from another host and reports the outcome to the
// node.
func (t *textSync) fetch(from string) {
	peerRevision, err := t.transfer(from)
	if err != nil {
		t.host.log.V(1).Info("services text not fetched", "from", from, "cause", err.Error())
		peerRevision = 0
	}
	t.mu.Lock()
	actions := t.node.FetchEnded(t.host.timer.Now(), from, peerRevision)
	t.mu.Unlock()
	t.execute(actions)
}

// transfer requests from another host what this one lacks of its text, checks the
// digest of the result and puts it into force. It returns the revision that the
// other host has.
func (t *textSync) transfer(from string) (int64, error) {
	client, err := t.peerClient(from)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	number, source := t.inForce()
	reply, err := t.requestText(client, &wire.TextRequest{NewerThan: number})
	if err != nil || reply.GetRevision() <= number {
		return reply.GetRevision(), err
	}
	text, err := t.assemble(client, reply, number, source)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if sum := sha256.Sum256(text); !bytes.Equal(sum[:], reply.GetDigest()) {
		return 0, trace.BadParameter("text of revision %d from host %s does not match its digest", reply.GetRevision(), from)
	}
	t.adoptSource(text, reply.GetRevision(), distribution.FromPeer, from)
	return reply.GetRevision(), nil
}

func (t *textSync) requestText(client wire.PeerClient, in *wire.TextRequest) (*wire.TextReply, error) {
	ctx, cancel := context.WithTimeout(t.baseCtx, transferTimeout)
	defer cancel()
	return client.Text(ctx, in)
}

// assemble returns the text that a reply describes. number and source are those
// of the text in force here.
func (t *textSync) assemble(client wire.PeerClient, reply *wire.TextReply, number int64, source []byte) ([]byte, error) {
	switch {
	case len(reply.GetDeltas()) > 0:
		return applyDeltas(reply.GetDeltas(), source)
	case len(reply.GetNames()) > 0:
		return t.assembleSections(client, reply, number)
	}
	return reply.GetSource(), nil
}

func applyDeltas(deltas []*wire.TextDelta, source []byte) ([]byte, error) {
	for _, message := range deltas {
		next, ok := deltaFromMessage(message).Apply(source)
		if !ok {
			return nil, trace.BadParameter("delta from revision %d does not fit", message.GetFrom())
		}
		source = next
	}
	return source, nil
}

// assembleSections assembles a text from the sections of the text in force and
// requests those that it lacks.
func (t *textSync) assembleSections(client wire.PeerClient, reply *wire.TextReply, number int64) ([]byte, error) {
	local := t.currentSections()
	fetched := make(map[string][]byte)
	var missing []string
	for _, name := range reply.GetNames() {
		if _, ok := local.Get(name); !ok {
			missing = append(missing, name)
		}
	}
	for len(missing) > 0 {
		names := missing[:min(len(missing), maxSectionsPerMessage)]
		part, err := t.requestText(client, &wire.TextRequest{NewerThan: number, Sections: names})
		if err != nil {
			return nil, err
		}
		if len(part.GetSections()) != len(names) {
			return nil, trace.BadParameter("got %d sections, expected %d", len(part.GetSections()), len(names))
		}
		for i, name := range names {
			if fetched[name], err = chunk.Unpack(part.GetSections()[i]); err != nil {
				return nil, trace.Wrap(err)
			}
		}
		missing = missing[len(names):]
	}
	var text []byte
	for _, name := range reply.GetNames() {
		section, ok := local.Get(name)
		if !ok {
			section = fetched[name]
		}
		text = append(text, section...)
	}
	return text, nil
}

func deltaMessage(d *distribution.Delta) *wire.TextDelta {
	return &wire.TextDelta{
		From: d.From, To: d.To, Start: int64(d.Start), End: int64(d.End), Insert: d.Insert, Digest: d.Digest[:],
	}
}

func deltaFromMessage(m *wire.TextDelta) *distribution.Delta {
	d := &distribution.Delta{From: m.GetFrom(), To: m.GetTo(), Start: int(m.GetStart()), End: int(m.GetEnd()), Insert: m.GetInsert()}
	copy(d.Digest[:], m.GetDigest())
	return d
}
