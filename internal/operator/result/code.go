// Package result holds the numbered result codes that callers and operators
// see, and the error type that carries one of them.
//
// A code never changes its meaning and a retired number is not used again.
// Every refusal says in Ran whether the request reached a back end: RanNo is a
// promise that not a single byte of it was sent, so it may only be produced
// before the first send.
package result

import "fmt"

// Code is a numbered result code; docs/ERRORS.md lists all of them.
type Code int

// Ran says whether a refused or failed request reached a back end.
type Ran string

// The three answers to "did it run?".
const (
	RanNo    Ran = "no"
	RanMaybe Ran = "maybe"
	RanYes   Ran = "yes"
)

// Or returns the strongest of two claims on what ran: yes, maybe, no.
func (r Ran) Or(other Ran) Ran {
	switch {
	case r == RanYes || other == RanYes:
		return RanYes
	case r == RanMaybe || other == RanMaybe:
		return RanMaybe
	}
	return RanNo
}

// Result codes. 1xxx: the caller's input; 2xxx: admission; 3xxx: records;
// 4xxx: back ends; 5xxx: operators; 9xxx: faults of the system itself.
const (
	OK Code = 0

	MalformedJSON     Code = 1001
	BodyTooLarge      Code = 1002
	UnknownModel      Code = 1003
	UnknownService    Code = 1004
	DuplicateCustomID Code = 1005
	TruncatedUpload   Code = 1006
	InvalidField      Code = 1007
	UnknownEndpoint   Code = 1008
	TooManyItems      Code = 1009
	NotFound          Code = 1010
	InvalidHeader     Code = 1011
	InvalidItem       Code = 1012
	Unauthorized      Code = 1101
	ServiceForbidden  Code = 1102

	RateLimited        Code = 2001
	ConcurrencyLimited Code = 2002
	QueueFull          Code = 2003
	Overloaded         Code = 2004
	DeadlineTooShort   Code = 2005
	Quarantined        Code = 2006
	Stopping           Code = 2007

	KeyReused        Code = 3001
	StoreUnavailable Code = 3002
	InProgress       Code = 3003
	MayHaveRun       Code = 3004
	LeaseLost        Code = 3005
	Gone             Code = 3006

	NoBackend      Code = 4001
	BackendFailed  Code = 4002
	BackendSilent  Code = 4003
	DeadlinePassed Code = 4004
	BackendCrashed Code = 4005
	Cancelled      Code = 4006
	BackendRefused Code = 4007

	ServicesInvalid  Code = 5001
	RevisionConflict Code = 5002

	Internal Code = 9001
)

// entry describes one code for callers and for docs/ERRORS.md.
type entry struct {
	code   Code
	status int
	name   string
}

var table = []entry{
	{MalformedJSON, 400, "malformed JSON"},
	{BodyTooLarge, 413, "body too large"},
	{UnknownModel, 404, "unknown model"},
	{UnknownService, 404, "unknown service"},
	{DuplicateCustomID, 400, "duplicate custom_id"},
	{TruncatedUpload, 400, "truncated upload"},
	{InvalidField, 400, "invalid field"},
	{UnknownEndpoint, 404, "unknown endpoint"},
	{TooManyItems, 400, "too many items"},
	{NotFound, 404, "not found"},
	{InvalidHeader, 400, "invalid header"},
	{InvalidItem, 400, "invalid item"},
	{Unauthorized, 401, "unauthorized"},
	{ServiceForbidden, 403, "service not allowed"},
	{RateLimited, 429, "rate limit reached"},
	{ConcurrencyLimited, 429, "concurrency limit reached"},
	{QueueFull, 429, "queue full"},
	{Overloaded, 503, "overloaded"},
	{DeadlineTooShort, 503, "deadline can't be met"},
	{Quarantined, 422, "request quarantined"},
	{Stopping, 503, "host stopping"},
	{KeyReused, 409, "idempotency key reused with another body"},
	{StoreUnavailable, 503, "records unavailable"},
	{InProgress, 409, "request in progress"},
	{MayHaveRun, 409, "request may have run"},
	{LeaseLost, 503, "shard holder changed"},
	{Gone, 410, "result expired"},
	{NoBackend, 503, "no back end"},
	{BackendFailed, 502, "back end failed"},
	{BackendSilent, 504, "back end silent"},
	{DeadlinePassed, 504, "deadline passed"},
	{BackendCrashed, 502, "back end crashed"},
	{Cancelled, 499, "cancelled"},
	{BackendRefused, 400, "back end refused the request"},
	{ServicesInvalid, 400, "services text invalid"},
	{RevisionConflict, 409, "revision conflict"},
	{Internal, 500, "internal fault"},
}

var byCode = func() map[Code]entry {
	index := make(map[Code]entry, len(table))
	for _, e := range table {
		index[e.code] = e
	}
	return index
}()

// Codes returns every result code in ascending order of the table.
func Codes() []Code {
	codes := make([]Code, len(table))
	for i, e := range table {
		codes[i] = e.code
	}
	return codes
}

// Status returns the HTTP status that answers with c, 500 for an unknown code.
func (c Code) Status() int {
	if c == OK {
		return 200
	}
	if e, ok := byCode[c]; ok {
		return e.status
	}
	return 500
}

// String returns the short English name of c.
func (c Code) String() string {
	if c == OK {
		return "ok"
	}
	if e, ok := byCode[c]; ok {
		return e.name
	}
	return fmt.Sprintf("code %d", int(c))
}
