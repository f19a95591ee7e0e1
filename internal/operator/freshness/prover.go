// Package freshness decides whether a host's configuration is known to be current. A
// proof says that a version was the newest configuration in the platform's store at a
// time. It comes from a direct read of the store, by this host or by another one, and
// counts at a host whose configuration is at least that version.
//
// A Prover decides when to read the store and which hosts to query, and holds the
// youngest proof. It reads no clock and sends nothing. All times are readings of one
// host's clock that also counts the time for which the machine was suspended.
package freshness

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// queryAge is the age of the youngest proof from which other hosts are queried,
	// queryInterval the time between two rounds of queries. A reader's interval is
	// readerInterval from readerAge on, so that it learns of a read in another zone
	// before it would read itself.
	queryAge       = 500 * time.Millisecond
	queryInterval  = 300 * time.Millisecond
	readerAge      = 900 * time.Millisecond
	readerInterval = 100 * time.Millisecond
	// secondAge is the age from which a host also queries the second relay of its zone.
	secondAge = 1200 * time.Millisecond
	// wideAge is the age from which all relays and further hosts are queried, up to
	// wideHosts of these in each round. Proofs are younger in normal operation.
	wideAge      = 1500 * time.Millisecond
	wideInterval = 200 * time.Millisecond
	wideHosts    = 8
	// slowAge is the age from which the rounds are slowInterval apart: the store is away.
	slowAge      = 5 * time.Second
	slowInterval = 500 * time.Millisecond
	// readAge is the age from which the first reader of the fleet reads, each further one
	// rankSpacing later; the times vary by readJitter. A reader with a rank above lastRank
	// counts as that one, so that all of them read before ownReadAge.
	readAge     = time.Second
	rankSpacing = 200 * time.Millisecond
	readJitter  = 100 * time.Millisecond
	lastRank    = 4
	// ownReadAge is the age from which a host reads that is not a reader, varied by
	// ownReadJitter. With a slow answer of the store its proofs stay younger than 3 s.
	// nextReadAge is the same if the host has read its youngest proof itself: others may
	// depend on it, so that it goes before them.
	ownReadAge    = 2 * time.Second
	ownReadJitter = 400 * time.Millisecond
	nextReadAge   = 1700 * time.Millisecond
	// firstReadDelay is how long a host without any proof waits for answers before it
	// reads, varied by firstReadJitter since all hosts may start at once.
	firstReadDelay  = 300 * time.Millisecond
	firstReadJitter = 600 * time.Millisecond
	// readInterval is the least time between two reads of a host, failedInterval that of a
	// host that is not a reader once a read has failed.
	readInterval   = time.Second
	failedInterval = 2 * time.Second
	// fetchInterval is the time between two fetches of a version that a proof names,
	// fetchPeriod the age up to which a proof causes them.
	fetchInterval = 200 * time.Millisecond
	fetchPeriod   = 5 * time.Second
	// revokeMargin is kept between the age of a proof and the time in which a removed key
	// must have stopped to be served. It covers clocks of different speed.
	revokeMargin = 500 * time.Millisecond
	// hopePeriod is how long after its proof became old a host expects a younger one soon.
	hopePeriod = time.Second
	// maxQueries bounds the queries whose answers count. It is more than are sent in the
	// time that an answer takes.
	maxQueries = 256
	// maxPending bounds the proofs of versions that are not in force yet.
	maxPending = 8
)

// NotReader is the rank of a host that does not follow the store.
const NotReader = -1

// Unproved is the age in the queries of a host without a proof.
const Unproved = math.MaxUint32 * time.Millisecond

// Proof says that the configuration with a version was the newest at a time.
type Proof struct {
	Version int64
	At      time.Duration
}

// View is what a host knows of the others. The lists are addresses, without its own.
type View struct {
	// Near are the relays of its zone, Far those of other zones, Others are further live
	// hosts.
	Near, Far, Others []string
	// Rank is the place of the host among those that read the store in the interest of
	// all, 0 for the first, or NotReader.
	Rank int
}

// Query asks a host for a younger proof. Age is that of the asker's.
type Query struct {
	Number  uint64
	Address string
	Age     time.Duration
}

// Answer answers the query with the same number: Version was the newest configuration
// Age before the query arrived.
type Answer struct {
	Number  uint64
	Version int64
	Age     time.Duration
}

// Step is what a host has to do now.
type Step struct {
	Queries []Query
	// Read is set if the store is to be read; ReadDone must be called afterwards.
	Read bool
	// Fetch is the host to fetch the configuration from, if any.
	Fetch string
}

// sentQuery is a query whose answer counts.
type sentQuery struct {
	number  uint64
	at      time.Duration
	address string
}

// pendingProof is a proof of a version that is not in force at this host.
type pendingProof struct {
	Proof
	from string
}

// Prover holds the proofs of one host. It is not safe for concurrent use.
type Prover struct {
	proof  Proof
	proved bool
	// giver is the host that the youngest proof came from, "" for this host itself.
	giver string
	// pending holds proofs of versions above the one in force, the youngest last.
	pending []pendingProof
	version int64
	// queries are the last ones sent, oldest first. number is that of the last.
	queries []sentQuery
	number  uint64
	// lastRound is when the last queries were sent, rounds how many there were, cursor
	// where the next ones go on in the list of further hosts.
	lastRound time.Duration
	rounds    int
	cursor    int
	// since is when the host began to need a proof, or learnt its last one.
	since time.Duration
	// begun is set once the host needs proofs.
	begun   bool
	reading bool
	// lastRead is when the last read began; hasRead is set if there was one, failed if it
	// failed.
	lastRead  time.Duration
	hasRead   bool
	failed    bool
	lastFetch time.Duration
	// jitter is between 0 and 1, drawn anew for each proof and read.
	jitter float64
	// wanted is the time from which a proof is wanted, for a key that is not known.
	wanted time.Duration
	// staleSince is when the host found its proof to be old, 0 if it is not.
	staleSince time.Duration
}

// NewProver returns a prover without a proof. Queries are numbered from first on, which
// must not be near the numbers of an earlier run of the host.
func NewProver(first uint64) *Prover { return &Prover{number: first, jitter: 0.5} }

// SetVersion sets the version of the configuration in force. Proofs of it count from
// now on.
func (p *Prover) SetVersion(version int64) {
	if version <= p.version {
		return
	}
	p.version = version
	kept := p.pending[:0]
	for _, pending := range p.pending {
		if pending.Version > version {
			kept = append(kept, pending)
		} else {
			p.count(pending.Proof, pending.from)
		}
	}
	p.pending = kept
}

// count makes a proof the youngest if it is younger. It came from a host, or from this one.
func (p *Prover) count(proof Proof, from string) {
	if p.proved && proof.At <= p.proof.At {
		return
	}
	p.proof, p.proved, p.giver, p.staleSince = proof, true, from, 0
}

// learn adds a proof, which counts once its version is in force.
func (p *Prover) learn(proof Proof, from string) {
	if proof.Version <= p.version {
		p.count(proof, from)
		return
	}
	p.pending = append(p.pending, pendingProof{proof, from})
	slices.SortStableFunc(p.pending, func(a, b pendingProof) int { return cmp.Compare(a.At, b.At) })
	if len(p.pending) > maxPending {
		p.pending = slices.Delete(p.pending, 0, 1)
	}
}

// Youngest returns the youngest proof that counts.
func (p *Prover) Youngest() (Proof, bool) { return p.proof, p.proved }

// Age returns the age of the youngest proof, false if there is none.
func (p *Prover) Age(now time.Duration) (time.Duration, bool) { return now - p.proof.At, p.proved }

// Verdict is the decision about the key of a request.
type Verdict uint8

// The verdicts: a younger proof is needed; the organisation that has the key is served;
// no organisation has the key.
const (
	Undecided Verdict = iota
	Served
	Denied
)

// Judge decides about the key of a request that was read at a time. known is whether the
// configuration in force has the key, which must be looked up after the last change of
// the proofs. A removed key may be served for the time revoke. A key is only denied if the
// configuration was current when the request had been read: one that was added before the
// request was sent is never denied.
func (p *Prover) Judge(known bool, read, revoke time.Duration) Verdict {
	switch {
	case !p.proved:
		return Undecided
	case known && read-p.proof.At < revoke-revokeMargin:
		return Served
	case !known && p.proof.At >= read:
		return Denied
	}
	return Undecided
}

// Hopeful reports whether a younger proof is expected soon.
func (p *Prover) Hopeful(now time.Duration) bool {
	return p.staleSince == 0 || now-p.staleSince < hopePeriod
}

// Want requests a proof of a time that is not before read. It causes queries and no
// read of the store.
func (p *Prover) Want(read time.Duration) { p.wanted = max(p.wanted, read) }

// Next returns what to do at a time. It is called at short intervals while the host
// needs proofs. view is only called if something may be due, random is between 0 and 1.
func (p *Prover) Next(now time.Duration, view func() View, random float64) Step {
	if !p.begun {
		p.begun, p.since, p.jitter = true, now, random
	}
	age, proved := p.Age(now)
	wants := proved && p.proof.At < p.wanted
	if stale := !proved || age >= ownReadAge; stale && p.staleSince == 0 {
		p.staleSince = now
	}
	step := Step{Fetch: p.nextFetch(now)}
	if proved && age < queryAge && !wants {
		return step
	}
	v := view()
	if interval := p.interval(age, proved, wants, v.Rank != NotReader); p.rounds == 0 || now-p.lastRound >= interval {
		step.Queries = p.nextQueries(now, age, proved, v)
	}
	if p.readDue(now, age, proved, v.Rank) {
		p.reading, p.hasRead, p.lastRead, p.jitter, step.Read = true, true, now, random, true
	}
	return step
}

// interval returns the time between two rounds of queries.
func (p *Prover) interval(age time.Duration, proved, wants, reader bool) time.Duration {
	switch {
	case proved && age >= slowAge:
		return slowInterval
	case !proved && p.lastRound-p.since >= slowAge:
		return slowInterval
	case !proved || wants || reader && age >= readerAge:
		return readerInterval
	case age >= wideAge:
		return wideInterval
	}
	return queryInterval
}

// nextQueries returns a round of queries.
func (p *Prover) nextQueries(now, age time.Duration, proved bool, v View) []Query {
	var to []string
	switch {
	case !proved || age >= wideAge:
		to = slices.Concat(v.Near, v.Far)
		if slices.Contains(v.Others, p.giver) {
			to = append(to, p.giver)
		}
		for range min(wideHosts, len(v.Others)) {
			to = append(to, v.Others[p.cursor%len(v.Others)])
			p.cursor++
		}
	case v.Rank != NotReader:
		to = v.Far
	case len(v.Near) > 0 && age < secondAge:
		to = v.Near[:1]
	case len(v.Near) > 0:
		to = v.Near
	default:
		to = v.Far
	}
	p.lastRound = now
	p.rounds++
	if !proved {
		age = Unproved
	}
	var queries []Query
	for _, address := range to {
		p.number++
		p.queries = append(p.queries, sentQuery{p.number, now, address})
		queries = append(queries, Query{Number: p.number, Address: address, Age: age})
	}
	p.queries = slices.Delete(p.queries, 0, max(0, len(p.queries)-maxQueries))
	return queries
}

// readDue reports whether this host is to read the store.
func (p *Prover) readDue(now, age time.Duration, proved bool, rank int) bool {
	reader := rank != NotReader
	interval := readInterval
	if p.failed && !reader {
		interval = failedInterval
	}
	if p.reading || p.hasRead && now-p.lastRead < interval+p.part(readJitter) {
		return false
	}
	switch {
	case !proved:
		return now-p.since >= firstReadDelay+p.part(firstReadJitter)
	case reader && age >= readAge+time.Duration(min(rank, lastRank))*rankSpacing+p.part(readJitter):
		return true
	case p.giver == "":
		return age >= nextReadAge+p.part(readJitter)
	}
	return age >= ownReadAge+p.part(ownReadJitter)
}

// part returns the drawn part of a time.
func (p *Prover) part(d time.Duration) time.Duration { return time.Duration(p.jitter * float64(d)) }

// nextFetch returns the host to fetch the configuration from, if a proof names one that
// is newer than the one in force.
func (p *Prover) nextFetch(now time.Duration) string {
	if len(p.pending) == 0 || p.lastFetch > 0 && now-p.lastFetch < fetchInterval {
		return ""
	}
	last := p.pending[len(p.pending)-1]
	if last.from == "" || now-last.At > fetchPeriod {
		return ""
	}
	p.lastFetch = now
	return last.from
}

// HandleQuery returns the answer to a query, false if this host has no proof that is
// younger than that of the asker.
func (p *Prover) HandleQuery(now time.Duration, number uint64, askerAge time.Duration) (Answer, bool) {
	age, proved := p.Age(now)
	if !proved || age >= askerAge {
		return Answer{}, false
	}
	return Answer{Number: number, Version: p.proof.Version, Age: age}, true
}

// HandleAnswer learns the proof of an answer. Its age counts from the time at which the
// query was sent, so that a delay on either way makes it older.
func (p *Prover) HandleAnswer(a Answer) {
	i := slices.IndexFunc(p.queries, func(q sentQuery) bool { return q.number == a.Number })
	if i < 0 || a.Age < 0 {
		return
	}
	p.learn(Proof{Version: a.Version, At: p.queries[i].at - a.Age}, p.queries[i].address)
}

// ReadDone learns the result of the read that Next asked for: the version in the store,
// unless the read failed.
func (p *Prover) ReadDone(version int64, failed bool) {
	p.reading, p.failed = false, failed
	if !failed {
		p.learn(Proof{Version: version, At: p.lastRead}, "")
	}
}
