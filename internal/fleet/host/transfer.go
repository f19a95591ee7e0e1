package host

import (
	"bytes"
	"context"
	"crypto/sha256"

	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/spread"
)

const (
	// offerDeltaBytes is the longest insertion that an offer carries itself.
	offerDeltaBytes = 16 << 10
	// wholeBytes is the longest text that is sent whole.
	wholeBytes = 32 << 10
	// sectionsPerMessage bounds one message of a transfer by sections.
	sectionsPerMessage = 8
)

// peer returns a client of the host with that name.
func (t *texts) peer(name string) (wire.PeerClient, error) {
	address, ok := t.host.peerAddress(name)
	if !ok {
		return nil, trace.NotFound("host %s has no known address", name)
	}
	return t.host.pool.Peer(address, 0)
}

// newOffer describes the revision in force.
func (t *texts) newOffer() *wire.TextOffer {
	number, _ := t.inForce()
	offer := &wire.TextOffer{Revision: number, Host: t.host.settings.Name}
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.history.Latest(); ok && d.To == number && len(d.Insert) <= offerDeltaBytes {
		offer.Delta = deltaMessage(&d)
	}
	return offer
}

// offer takes a pushed revision and returns the one in force afterwards. One
// whose delta does not fit is fetched from the host that pushed it.
func (t *texts) offer(in *wire.TextOffer) int64 {
	number, source := t.inForce()
	if d := in.GetDelta(); d != nil && number > 0 && d.GetFrom() == number {
		if text, ok := deltaOf(d).Apply(source); ok {
			t.adoptSource(text, d.GetTo(), spread.FromPeer, in.GetHost())
		}
	}
	number, _ = t.inForce()
	if number < in.GetRevision() {
		t.offered(in.GetHost(), in.GetRevision())
	}
	return number
}

// reply answers a host that asks for what it lacks.
func (t *texts) reply(in *wire.TextRequest) *wire.TextReply {
	number, source := t.inForce()
	if number <= in.GetNewerThan() {
		return &wire.TextReply{Revision: number}
	}
	sum := sha256.Sum256(source)
	reply := &wire.TextReply{Revision: number, Digest: sum[:]}
	switch deltas, ok := t.deltasSince(in.GetNewerThan(), number); {
	case len(in.GetSections()) > 0:
		sections := t.cut()
		for _, name := range in.GetSections()[:min(len(in.GetSections()), sectionsPerMessage)] {
			reply.Sections = append(reply.Sections, packed(sections.Get(name)))
		}
	case ok:
		reply.Deltas = deltas
	case len(source) <= wholeBytes:
		reply.Source = source
	default:
		reply.Names = t.cut().Names()
	}
	return reply
}

func packed(section []byte, ok bool) []byte {
	if !ok {
		return nil
	}
	return chunk.Pack(section)
}

func (t *texts) deltasSince(from, to int64) ([]*wire.TextDelta, bool) {
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

// fetch brings a host's newer text.
func (t *texts) fetch(from string) {
	got, err := t.transfer(from)
	if err != nil {
		t.host.log.V(1).Info("services text not fetched", "from", from, "cause", err.Error())
		got = 0
	}
	t.mu.Lock()
	actions := t.node.FetchEnded(t.host.timer.Now(), from, got)
	t.mu.Unlock()
	t.carryOut(actions)
}

// transfer asks a host for what this one lacks and puts it into force; it
// returns the revision that the host has.
func (t *texts) transfer(from string) (int64, error) {
	client, err := t.peer(from)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	number, source := t.inForce()
	reply, err := t.ask(client, &wire.TextRequest{NewerThan: number})
	if err != nil || reply.GetRevision() <= number {
		return reply.GetRevision(), err
	}
	text, err := t.assemble(client, reply, number, source)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if sum := sha256.Sum256(text); !bytes.Equal(sum[:], reply.GetDigest()) {
		return 0, trace.BadParameter("text of revision %d from host %s is damaged", reply.GetRevision(), from)
	}
	t.adoptSource(text, reply.GetRevision(), spread.FromPeer, from)
	return reply.GetRevision(), nil
}

func (t *texts) ask(client wire.PeerClient, in *wire.TextRequest) (*wire.TextReply, error) {
	ctx, cancel := context.WithTimeout(t.done, transferTimeout)
	defer cancel()
	return client.Text(ctx, in)
}

// assemble makes the text that a reply describes.
func (t *texts) assemble(client wire.PeerClient, reply *wire.TextReply, number int64, source []byte) ([]byte, error) {
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
		next, ok := deltaOf(message).Apply(source)
		if !ok {
			return nil, trace.BadParameter("delta from revision %d does not fit", message.GetFrom())
		}
		source = next
	}
	return source, nil
}

// assembleSections asks for the sections that the text in force doesn't have.
func (t *texts) assembleSections(client wire.PeerClient, reply *wire.TextReply, number int64) ([]byte, error) {
	have := t.cut()
	fetched := make(map[string][]byte)
	var lacking []string
	for _, name := range reply.GetNames() {
		if _, ok := have.Get(name); !ok {
			lacking = append(lacking, name)
		}
	}
	for len(lacking) > 0 {
		names := lacking[:min(len(lacking), sectionsPerMessage)]
		part, err := t.ask(client, &wire.TextRequest{NewerThan: number, Sections: names})
		if err != nil {
			return nil, err
		}
		if len(part.GetSections()) != len(names) {
			return nil, trace.BadParameter("%d sections in place of %d", len(part.GetSections()), len(names))
		}
		for i, name := range names {
			if fetched[name], err = chunk.Unpack(part.GetSections()[i]); err != nil {
				return nil, trace.Wrap(err)
			}
		}
		lacking = lacking[len(names):]
	}
	var text []byte
	for _, name := range reply.GetNames() {
		section, ok := have.Get(name)
		if !ok {
			section = fetched[name]
		}
		text = append(text, section...)
	}
	return text, nil
}

func deltaMessage(d *spread.Delta) *wire.TextDelta {
	return &wire.TextDelta{
		From: d.From, To: d.To, Start: int64(d.Start), End: int64(d.End), Insert: d.Insert, Digest: d.Digest[:],
	}
}

func deltaOf(m *wire.TextDelta) *spread.Delta {
	d := &spread.Delta{From: m.GetFrom(), To: m.GetTo(), Start: int(m.GetStart()), End: int(m.GetEnd()), Insert: m.GetInsert()}
	copy(d.Digest[:], m.GetDigest())
	return d
}
