// Package result defines the numbered result codes that callers and operators
// see, and the error type that has such a code.
//
// The meaning of a code never changes, and the number of a removed code is not
// used again. Every error reports in Ran whether the request reached a backend
// server. RanNo guarantees that no byte of the request was sent to one, so it may
// only be reported before the first send.
package result

import "fmt"

// Code is a numbered result code; docs/ERRORS.md lists all of them.
type Code int

// Ran is whether a refused or failed request reached a backend server.
type Ran string

// The values of Ran.
const (
	RanNo    Ran = "no"
	RanMaybe Ran = "maybe"
	RanYes   Ran = "yes"
)

// Or combines the values for two attempts of a request: RanYes if either is
// RanYes, else RanMaybe if either is RanMaybe, else RanNo.
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
// 4xxx: backend servers; 5xxx: operators; 9xxx: internal faults.
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
	// BodyStalled: the request held memory that others needed, and its body made no
	// progress.
	BodyStalled      Code = 1013
	HeaderTooLarge   Code = 1014
	Unauthorized     Code = 1101
	ServiceForbidden Code = 1102

	RateLimited        Code = 2001
	ConcurrencyLimited Code = 2002
	QueueFull          Code = 2003
	Overloaded         Code = 2004
	DeadlineTooShort   Code = 2005
	Quarantined        Code = 2006
	Stopping           Code = 2007
	CrashesBackends    Code = 2008
	// ConfigOutdated: the host does not know whether its configuration is current, and
	// with it whether the key is valid.
	ConfigOutdated Code = 2009

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
	// VersionUnavailable: no server of the software version that began a stream is
	// in service, or the version is unknown.
	VersionUnavailable Code = 4008
	// ExpectationUnmet: the servers that were tried don't have what the caller expects of
	// them, such as a version of the weights.
	ExpectationUnmet Code = 4009

	ServicesInvalid  Code = 5001
	RevisionConflict Code = 5002
	// ConfigInvalid: a configuration was refused as a whole.
	ConfigInvalid Code = 5003

	Internal Code = 9001
)

// codeInfo is the HTTP status and the name of a code. docs/ERRORS.md lists both.
type codeInfo struct {
	code   Code
	status int
	name   string
}

var codeTable = []codeInfo{
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
	{BodyStalled, 408, "body made no progress"},
	{HeaderTooLarge, 431, "header too large"},
	{Unauthorized, 401, "unauthorized"},
	{ServiceForbidden, 403, "service not allowed"},
	{RateLimited, 429, "rate limit reached"},
	{ConcurrencyLimited, 429, "concurrency limit reached"},
	{QueueFull, 429, "queue full"},
	{Overloaded, 503, "overloaded"},
	{DeadlineTooShort, 503, "deadline can't be met"},
	{Quarantined, 422, "request quarantined"},
	{Stopping, 503, "host stopping"},
	{CrashesBackends, 503, "request crashes back ends"},
	{ConfigOutdated, 503, "configuration may be outdated"},
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
	{VersionUnavailable, 503, "software version not in service"},
	{ExpectationUnmet, 421, "expectation of the caller unmet"},
	{ServicesInvalid, 400, "services text invalid"},
	{RevisionConflict, 409, "revision conflict"},
	{ConfigInvalid, 400, "configuration invalid"},
	{Internal, 500, "internal fault"},
}

var byCode = func() map[Code]codeInfo {
	infos := make(map[Code]codeInfo, len(codeTable))
	for _, e := range codeTable {
		infos[e.code] = e
	}
	return infos
}()

// Codes returns every result code except OK in ascending order.
func Codes() []Code {
	codes := make([]Code, len(codeTable))
	for i, e := range codeTable {
		codes[i] = e.code
	}
	return codes
}

// Status returns the HTTP status of a response with code c, 500 for an unknown
// code.
func (c Code) Status() int {
	if c == OK {
		return 200
	}
	if e, ok := byCode[c]; ok {
		return e.status
	}
	return 500
}

// String returns the name of c in English, such as "queue full".
func (c Code) String() string {
	if c == OK {
		return "ok"
	}
	if e, ok := byCode[c]; ok {
		return e.name
	}
	return fmt.Sprintf("code %d", int(c))
}
