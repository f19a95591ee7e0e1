package notice

import (
	"math"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/freshness"
)

// FreshnessQuery asks for a younger proof that a configuration was the newest; see
// package freshness.
type FreshnessQuery struct {
	Member
	Number uint64
	// Age is that of the asker's youngest proof.
	Age time.Duration
}

// FreshnessAnswer answers the FreshnessQuery with the same number.
type FreshnessAnswer struct {
	Member
	freshness.Answer
}

// Encode returns the query as a datagram.
func (q FreshnessQuery) Encode() ([]byte, error) {
	body := &wire.FreshnessQuery{Number: q.Number, AgeMs: ageMillis(q.Age)}
	return encode(q.Member, 0, &wire.Datagram{Body: &wire.Datagram_FreshnessQuery{FreshnessQuery: body}})
}

func decodeFreshnessQuery(d *wire.Datagram) *FreshnessQuery {
	q := d.GetFreshnessQuery()
	return &FreshnessQuery{Member: decodeMember(d.GetSender()), Number: q.GetNumber(), Age: milliseconds(q.GetAgeMs())}
}

// Encode returns the answer as a datagram.
func (a FreshnessAnswer) Encode() ([]byte, error) {
	body := &wire.FreshnessAnswer{Number: a.Number, Version: a.Version, AgeMs: ageMillis(a.Age)}
	return encode(a.Member, 0, &wire.Datagram{Body: &wire.Datagram_FreshnessAnswer{FreshnessAnswer: body}})
}

func decodeFreshnessAnswer(d *wire.Datagram) *FreshnessAnswer {
	a := d.GetFreshnessAnswer()
	return &FreshnessAnswer{Member: decodeMember(d.GetSender()), Answer: freshness.Answer{Number: a.GetNumber(), Version: a.GetVersion(), Age: milliseconds(a.GetAgeMs())}}
}

// ageMillis rounds an age up, so that a proof does not get younger on its way.
func ageMillis(age time.Duration) uint32 {
	ms := (max(0, age) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, math.MaxUint32))
}

// SendFreshnessQuery sends a query to a host at once.
func (e *Exchange) SendFreshnessQuery(address string, q FreshnessQuery) {
	q.Member, _ = e.header()
	e.encodeTo([]string{address}, q.Encode)
}

// SendFreshnessAnswer sends an answer to a host at once.
func (e *Exchange) SendFreshnessAnswer(address string, a FreshnessAnswer) {
	a.Member, _ = e.header()
	e.encodeTo([]string{address}, a.Encode)
}
