package notice

import (
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/serving/quota"
)

// Tokens is a message about tokens of the limits of organisations. One of the fields is
// set besides Member.
type Tokens struct {
	Member
	// Ask asks the home of a limit. Its Host and Start are those of the sender.
	Ask    *quota.Ask
	Answer *quota.Answer
	// Returned is the number of a granted ask whose request no server ran.
	Returned uint64
}

// maxAskedTokens bounds the tokens that a host asks for, which needs one for each request.
// Homes without a known limit give what is asked for and charge it later.
const maxAskedTokens = 16

// Encode returns the message as a datagram.
func (t Tokens) Encode() ([]byte, error) {
	d := new(wire.Datagram)
	switch {
	case t.Ask != nil:
		d.Body = &wire.Datagram_TokenRequest{TokenRequest: &wire.TokenRequest{
			Number: t.Ask.Number, Organisation: t.Ask.Organisation, Tokens: uint32(t.Ask.Tokens), FromHome: t.Ask.FromHome,
		}}
	case t.Answer != nil:
		d.Body = &wire.Datagram_TokenAnswer{TokenAnswer: &wire.TokenAnswer{
			Number: t.Answer.Number, Tokens: uint32(t.Answer.Tokens), RetryAfterMs: uint32(t.Answer.RetryAfter.Milliseconds()), NotHome: t.Answer.NotHome,
		}}
	default:
		d.Body = &wire.Datagram_TokenReturn{TokenReturn: &wire.TokenReturn{Number: t.Returned, Tokens: 1}}
	}
	return encode(t.Member, 0, d)
}

func decodeTokens(d *wire.Datagram) *Tokens {
	t := &Tokens{Member: decodeMember(d.GetSender())}
	switch {
	case d.GetTokenRequest() != nil:
		r := d.GetTokenRequest()
		t.Ask = &quota.Ask{
			Host: t.Host, Start: t.Start, Number: r.GetNumber(), Organisation: r.GetOrganisation(), Tokens: int(min(r.GetTokens(), maxCount)), FromHome: r.GetFromHome(),
		}
		if !t.Ask.FromHome {
			t.Ask.Tokens = min(t.Ask.Tokens, maxAskedTokens)
		}
	case d.GetTokenAnswer() != nil:
		a := d.GetTokenAnswer()
		t.Answer = &quota.Answer{Number: a.GetNumber(), Tokens: int(min(a.GetTokens(), maxCount)), RetryAfter: milliseconds(a.GetRetryAfterMs()), NotHome: a.GetNotHome()}
	default:
		t.Returned = d.GetTokenReturn().GetNumber()
	}
	return t
}
