// Package suspect finds the parts of prompts that crash backend servers, and
// keeps requests with such a part away from the servers.
//
// A server that ends takes all its requests with it, and each part of their prompts is
// accused unless it has been answered elsewhere: one answer proves all parts of its prompt
// to be sound, since a part that crashes servers crashes each server that runs it. Whether
// the answer had begun makes no difference: on most routes its head comes with the whole
// answer. Before the first answer to a new part, the calls that are at other servers tell:
// one that has got further than each run with the part at a server that ended shows that
// the part did not end that server, see Progress. A call that ended with its own server
// shows the same, and an end counts no more if most of the servers that ended with it were
// not ended by the part. A part is condemned once condemnAfter servers ended under it with
// none of these, on whichever hosts that was. Servers
// that also ended under a condemned part further back in the prompt do not
// count: the parts at the front are shared by many more requests. The last part of a
// prompt explains no end of these, as hardly any other request has it.
//
// Requests with a condemned part are refused. The first answer to one that is
// still running withdraws the accusation. After that only a trial can: at
// growing intervals, one request with the part is sent by the one host that all
// hosts agree on, at most maxTrials times. Hosts that are cut off from each other
// may not agree, so each trial is claimed in the store before it is sent. A
// condemnation expires after recordTTL or is withdrawn by an operator.
//
// A Registry is the state machine over the records of one host and does no I/O.
// Records are exchanged between hosts with their status messages. The store keeps
// those with keptServers servers or more for hosts that lose their memory and for
// zones that are cut off from each other. Each withdrawal increases the version of
// a record; of two records of a part, the one with the higher version counts, and
// those of the same version are united.
// All hosts therefore arrive at the same record whatever the order of arrival.
// A host that has answered a part within recentAnswer withdraws what others
// tell it, so a part that many callers share is hardly ever condemned.
//
// A server whose connection was lost may turn out to have ended only later, when
// its port closes or it starts again. The calls that were lost are remembered until
// then; an answer that comes first clears them.
//
// Requests that have no part in common, but whose body is sent again and again,
// are found in the same way: the body counts as a part of its own. It is accused
// however far its answer had got, and explains the end of no server. Only an answer
// that one server made from its start to its end proves a body to be sound, or the last
// part of one that got further than each part before it: a stream may crash each server
// after the same number of events, or of seconds, and reach its end over several servers
// all the same.
//
// Items of batch jobs are never refused: they are owed whatever crashed under them.
// From the third crash on they rest after each, see restAfter.
package suspect

import (
	"cmp"
	"hash/maphash"
	"slices"
	"time"
)

const (
	// condemnAfter is the number of servers that must have ended under a part.
	condemnAfter = 3
	// keptServers is the number of servers from which the store keeps a record. Most
	// parts and bodies that are accused were only present when a server ended.
	keptServers = 2
	// recentAnswer is how long an answer protects a part that is accused though
	// it has been answered before.
	recentAnswer = 2 * time.Second
	// answerTTL is how long it is known that a part has been answered.
	answerTTL = 10 * time.Minute
	// maxTrials is the number of trials of a condemned part. The first is due
	// firstTrialDelay after the condemnation, or after a claim that failed; each
	// further delay is trialDelayFactor times as long. Three requests may reach a
	// server after a condemnation: one more than the trials may have been on its way.
	maxTrials        = 2
	firstTrialDelay  = 2 * time.Second
	trialDelayFactor = 4
	// recordTTL is how long a record is valid after its last crash, withdrawnTTL
	// how long after its withdrawal.
	recordTTL    = time.Hour
	withdrawnTTL = 10 * time.Minute
	// changedPeriod is how long a record that is not condemned is shared after a
	// change. No record is shared in the last unsharedPeriod before it expires,
	// or hosts that drop it would learn it again from slower ones.
	changedPeriod  = 5 * time.Second
	unsharedPeriod = 10 * time.Second
	// maxRecords bounds the records of a host, maxShared those of a message and
	// maxServers the servers of a record.
	maxRecords = 1024
	maxShared  = 32
	maxServers = 16
	// maxPartBytes is the longest name of a part.
	maxPartBytes = 64
	// answerSlots is the size of the table of answered parts, a power of two.
	answerSlots = 1 << 12
)

// The depths of a body and of the last part of a prompt. Each request has its own, so the
// retries of one must not explain what many requests have in common: a last part explains
// the ends of servers only in place of the body, a body in place of nothing.
const (
	bodyDepth = -1
	lastDepth = -2
)

// rank orders records by what they explain: the ends under a part count for none of a
// lower rank.
func (r *Record) rank() int {
	switch r.Depth {
	case bodyDepth:
		return 0
	case lastDepth:
		return 1
	}
	return lastRank + 1 + r.Depth
}

// lastRank is the rank of the last part of a prompt.
const lastRank = 1

// Record is what is known of one part.
type Record struct {
	Part string
	// Depth is the position of the part in prompts, counted from 0, or bodyDepth or
	// lastDepth.
	Depth int
	// Version grows with each withdrawal.
	Version uint32
	// Servers are those that ended under the part since the last withdrawal, in
	// the order in which this host learned of them.
	Servers []string
	// runs holds how far the runs with the part got at most at these servers, where that
	// is known.
	runs map[string]Progress
	// endedAt holds when these runs ended, where that is known.
	endedAt map[string]time.Time
	// Steps counts the ends for the rest of items with the part: those up to condemnAfter,
	// and each later one unless it came within firstItemRest of the step before. Such a one
	// ended a run that had been sent before, as servers that end together do.
	Steps int
	// Trials counts the requests that were sent since the part was condemned.
	Trials int
	// ExpiresAt is when the record is dropped.
	ExpiresAt time.Time

	condemned bool
	// kept is set if the store may have the record, firsthand if this host saw a server
	// end under the part.
	kept      bool
	firsthand bool
	changedAt time.Time
	// trialAt is when the next trial is due, if Trials is below maxTrials. claiming is
	// set while this host claims it.
	trialAt  time.Time
	claiming bool
	// trialBy is the ID of the request that this host last sent as a trial.
	trialBy string
	// stepAt is when Steps last grew.
	stepAt time.Time
}

// Report is a Record as hosts tell it to each other.
type Report struct {
	Part    string
	Depth   int
	Version uint32
	Servers []string
	// Runs is how far runs with the part got at the servers, in the same order; a Time of
	// 0 says that it is not known. Reports of earlier builds have none.
	Runs []Progress
	// Steps is 0 in reports of earlier builds; each server counts there.
	Steps  int
	Trials int
	// ExpiresIn is the time until the record is dropped.
	ExpiresIn time.Duration
}

// Condemned reports whether requests with the part are refused.
func (r *Record) Condemned() bool { return r.condemned }

// withdraw ends the accusation.
func (r *Record) withdraw(now time.Time) {
	r.Version++
	r.Servers, r.runs, r.endedAt, r.Steps, r.Trials, r.condemned = nil, nil, nil, 0, 0, false
	r.changedAt, r.ExpiresAt = now, now.Add(withdrawnTTL)
}

// addServers adds servers that ended under the part and reports whether any of
// them is new.
func (r *Record) addServers(now, expiresAt time.Time, servers []string) bool {
	before := len(r.Servers)
	for _, s := range servers {
		if len(r.Servers) < maxServers && !slices.Contains(r.Servers, s) {
			r.Servers = append(r.Servers, s)
		}
	}
	if len(r.Servers) == before {
		return false
	}
	r.changedAt = now
	if expiresAt.After(r.ExpiresAt) {
		r.ExpiresAt = expiresAt
	}
	return true
}

// step counts an end for the rest of items with the part.
func (r *Record) step(now time.Time) {
	if r.Steps < condemnAfter || now.Sub(r.stepAt) >= firstItemRest {
		r.Steps, r.stepAt = r.Steps+1, now
	}
}

// mergeSteps adds the steps of a report whose servers have been added. Either side may lack
// ends that the other has counted.
func (r *Record) mergeSteps(now time.Time, before, inServers, inSteps int) {
	if inSteps == 0 {
		inSteps = inServers
	}
	known := r.Steps
	r.Steps = max(r.Steps, inSteps, min(condemnAfter, len(r.Servers)))
	if r.Steps > known {
		r.stepAt = now
	}
	if len(r.Servers) > max(before, inServers) {
		r.step(now)
	}
	r.Steps = min(r.Steps, max(len(r.Servers), known))
}

// trialDelay returns the delay before the trial that follows n others.
func trialDelay(n int) time.Duration {
	d := firstTrialDelay
	for range n {
		d *= trialDelayFactor
	}
	return d
}

// answer is the time of the last answer to a prompt with a part.
type answer struct {
	part string
	at   time.Time
}

// Registry is the state machine over the records of one host. It is not safe for
// concurrent use.
type Registry struct {
	// records has at most maxRecords entries.
	records map[string]*Record
	// answers is a hash table without chaining: a new answer replaces that of
	// another part in the same slot.
	answers []answer
	seed    maphash.Seed
	// losses has at most maxLosses entries, the oldest first.
	losses []Loss
	// lost holds since when this host has reason to take starts of servers for ended,
	// at most maxRecords.
	lost map[string]time.Time
	// ends holds the starts of servers that were found to have ended, at most maxRecords.
	ends map[string]end
	// runs holds the calls with parts that are at servers.
	runs map[*Run]struct{}
	// judgeAt is when the next end counts that can still be refuted, zero for none.
	judgeAt time.Time
	// overdue are the records that judgeDue condemned and TakeOverdue has not returned.
	overdue []Record
	// unsaved is set if a record that the store keeps has changed here.
	unsaved bool
}

// NewRegistry returns a Registry without records.
func NewRegistry() *Registry {
	return &Registry{
		records: make(map[string]*Record), answers: make([]answer, answerSlots), seed: maphash.MakeSeed(),
		lost: make(map[string]time.Time), ends: make(map[string]end), runs: make(map[*Run]struct{}),
	}
}

// RecordAnswer records that a server has answered a prompt with the parts from its start
// to its end. It returns the records whose accusation it withdrew.
func (g *Registry) RecordAnswer(now time.Time, parts []string) []Record {
	var withdrawn []Record
	g.clearParts(parts)
	for _, part := range parts {
		*g.slot(part) = answer{part: part, at: now}
		if r := g.lookup(now, part); r != nil && len(r.Servers) > 0 {
			g.withdraw(now, r)
			withdrawn = append(withdrawn, *r)
		}
	}
	if len(withdrawn) > 0 {
		g.judge(now)
	}
	return withdrawn
}

// judge condemns the parts under which condemnAfter servers ended, apart from
// servers that ended under a condemned part further back in a prompt.
func (g *Registry) judge(now time.Time) {
	g.judgeAt = time.Time{}
	accused := g.Accused(now)
	slices.SortFunc(accused, func(a, b Record) int { return cmp.Compare(b.rank(), a.rank()) })
	times := g.endTimes(now)
	// explainedBy holds the highest rank of the condemned records that name a server.
	explainedBy := make(map[string]int)
	for _, a := range accused {
		r := g.records[a.Part]
		unexplained := 0
		for _, s := range r.Servers {
			if explainedBy[s] > r.rank() {
				continue
			}
			if refutable := g.refutableUntil(r, s); now.Before(refutable) {
				if g.judgeAt.IsZero() || refutable.Before(g.judgeAt) {
					g.judgeAt = refutable
				}
				continue
			}
			if r.outlasted(s) || r.endedWithOthers(s, times) {
				continue
			}
			unexplained++
		}
		if !r.condemned && unexplained >= condemnAfter {
			r.trialAt = now.Add(trialDelay(r.Trials))
		}
		r.condemned = unexplained >= condemnAfter
		if r.condemned {
			for _, s := range r.Servers {
				explainedBy[s] = max(explainedBy[s], r.rank())
			}
		}
	}
}

// judgeDue judges again once ends count that could have been refuted until then. Whatever
// reads whether records are condemned calls it first.
func (g *Registry) judgeDue(now time.Time) {
	if g.judgeAt.IsZero() || now.Before(g.judgeAt) {
		return
	}
	before := make(map[string]bool)
	for part, r := range g.records {
		before[part] = r.condemned
	}
	g.judge(now)
	for part, r := range g.records {
		if r.condemned && !before[part] {
			g.overdue = append(g.overdue, *r)
		}
	}
}

// TakeOverdue returns the records that judgeDue has condemned since the last call.
func (g *Registry) TakeOverdue(now time.Time) []Record {
	g.judgeDue(now)
	overdue := g.overdue
	g.overdue = nil
	return overdue
}

// RecordCrash records that a server ended while it had a prompt with the parts, whose run
// had got so far at most, and returns the records that changed. It accuses the parts
// that are not known to have been answered or, if all are, those that have not
// been answered recently. A condemned part explains the crash, so the parts
// before it, which more requests share, are not accused.
func (g *Registry) RecordCrash(now time.Time, parts []string, server string, run Progress) []Record {
	accused := g.unanswered(now, parts, answerTTL)
	if len(accused) == 0 {
		accused = g.unanswered(now, parts, recentAnswer)
	}
	var changed []*Record
	for depth, part := range slices.Backward(parts) {
		if !slices.Contains(accused, part) {
			continue
		}
		r, isNew := g.accuse(now, part, depth, server, run)
		if isNew {
			changed = append(changed, r)
		}
		if r.condemned {
			break
		}
	}
	g.judge(now)
	var records []Record
	for _, r := range changed {
		records = append(records, *r)
	}
	return records
}

// RecordBodyCrash is RecordCrash for a body.
func (g *Registry) RecordBodyCrash(now time.Time, body, server string) []Record {
	return g.recordOwnCrash(now, body, bodyDepth, server, Progress{})
}

// RecordLastPartCrash is RecordCrash for the last part of a prompt. An answer protects it
// for recentAnswer only, whatever is known of the other parts of the prompt.
func (g *Registry) RecordLastPartCrash(now time.Time, part, server string, run Progress) []Record {
	if part == "" || g.answeredWithin(now, part, recentAnswer) {
		return nil
	}
	return g.recordOwnCrash(now, part, lastDepth, server, run)
}

func (g *Registry) recordOwnCrash(now time.Time, name string, depth int, server string, run Progress) []Record {
	r, isNew := g.accuse(now, name, depth, server, run)
	if !isNew {
		return nil
	}
	g.judge(now)
	return []Record{*r}
}

// RecordBodyAnswer is RecordAnswer for a body. Answers to bodies that are not
// accused are not remembered.
func (g *Registry) RecordBodyAnswer(now time.Time, body string) []Record {
	g.clearBody(body)
	if !g.Withdraw(now, body) {
		return nil
	}
	return []Record{*g.records[body]}
}

// Ended returns the starts of the servers that records name as ended, apart from those
// that have answered since.
func (g *Registry) Ended(now time.Time) map[string]bool {
	ended := make(map[string]bool)
	for _, r := range g.records {
		if now.Before(r.ExpiresAt) {
			for _, s := range r.Servers {
				if !g.Answers(s) {
					ended[s] = true
				}
			}
		}
	}
	return ended
}

// Empty reports whether there are no records.
func (g *Registry) Empty() bool { return len(g.records) == 0 }

// accuse adds a server to the record of a part and reports whether it is new
// there.
func (g *Registry) accuse(now time.Time, part string, depth int, server string, run Progress) (*Record, bool) {
	r := g.lookup(now, part)
	if r == nil {
		r = &Record{Part: part, Depth: depth}
		g.put(now, r)
	}
	r.firsthand = true
	r.Depth = commonDepth(r.Depth, depth)
	if len(r.Servers) == maxServers {
		// The time of the last crash counts though the server has no room.
		r.changedAt, r.ExpiresAt = now, now.Add(recordTTL)
	}
	if len(r.Servers) == maxServers && !slices.Contains(r.Servers, server) {
		r.step(now)
	}
	isNew := r.addServers(now, now.Add(recordTTL), []string{server})
	if isNew {
		r.step(now)
	}
	r.addRun(now, server, run)
	if isNew && len(r.Servers) >= keptServers {
		g.unsaved = true
	}
	return r, isNew
}

// Merge applies the reports of another host and reports whether any record
// changed.
func (g *Registry) Merge(now time.Time, reports []Report) bool {
	changed := false
	for _, in := range reports {
		changed = g.mergeOne(now, in) || changed
	}
	if changed {
		for _, in := range reports {
			for _, server := range in.Servers {
				lostAt, _ := g.lostSince(now, server)
				g.noteLost(now, server)
				if _, known := g.ends[server]; !known {
					g.noteEnd(now, server, lostAt)
				}
			}
		}
		g.judge(now)
	}
	return changed
}

func (g *Registry) mergeOne(now time.Time, in Report) bool {
	if in.Part == "" || len(in.Part) > maxPartBytes || in.ExpiresIn <= 0 {
		return false
	}
	expiresAt := now.Add(min(in.ExpiresIn, recordTTL))
	known := g.lookup(now, in.Part)
	switch {
	case known == nil || in.Version > known.Version:
		wasKept := known != nil && known.kept
		known = &Record{Part: in.Part, Depth: in.Depth, Version: in.Version, Trials: in.Trials, ExpiresAt: expiresAt, changedAt: now, kept: wasKept}
		known.addServers(now, expiresAt, in.Servers)
		known.mergeSteps(now, 0, len(in.Servers), in.Steps)
		known.addRuns(now, in)
		g.put(now, known)
	case in.Version < known.Version:
		// The other host gets the newer record again.
		known.changedAt = now
		return true
	default:
		known.Depth = commonDepth(known.Depth, in.Depth)
		before, steps := len(known.Servers), known.Steps
		changed := known.addServers(now, expiresAt, in.Servers)
		known.mergeSteps(now, before, len(in.Servers), in.Steps)
		changed = changed || known.Steps != steps
		known.addRuns(now, in)
		if changed && known.firsthand && len(known.Servers) > len(in.Servers) && len(known.Servers) >= keptServers {
			// Neither host had all of them, and those that saw none leave it to the others.
			g.unsaved = true
		}
		if in.Trials > known.Trials {
			known.Trials, known.trialAt, changed = in.Trials, now.Add(trialDelay(in.Trials)), true
		}
		if !changed {
			return false
		}
	}
	if len(known.Servers) > 0 && g.answeredWithin(now, in.Part, recentAnswer) {
		g.withdraw(now, known)
	}
	return true
}

// Refusing returns the record of a condemned part for which a request with the
// parts must be refused. It returns false if there is none, or if the request
// may be a trial of the only condemned part. isTrialHost reports whether this
// host sends the trials of a part.
func (g *Registry) Refusing(now time.Time, parts []string, isTrialHost func(part string) bool) (Record, bool) {
	condemned := g.condemned(now, parts)
	switch {
	case len(condemned) == 0 || len(condemned) == 1 && condemned[0].trialDue(now, isTrialHost):
		return Record{}, false
	}
	return *condemned[0], true
}

// BeginTrial begins the claim of a trial for a request with the parts that Refusing
// has let pass. It returns the record of the part on trial, if there is one, with the
// number of the trial. Refusing lets no other pass until EndTrial.
func (g *Registry) BeginTrial(now time.Time, parts []string) (Record, bool) {
	condemned := g.condemned(now, parts)
	if len(condemned) == 0 {
		return Record{}, false
	}
	r := condemned[0]
	r.claiming = true
	trial := *r
	trial.Trials++
	return trial, true
}

// EndTrial ends the claim of a trial by a request. If claimed, the trial is sent and counts.
func (g *Registry) EndTrial(now time.Time, trial Record, request string, claimed bool) {
	r := g.lookup(now, trial.Part)
	if r == nil {
		return
	}
	r.claiming = false
	if !claimed {
		r.trialAt = now.Add(trialDelay(r.Trials))
		return
	}
	if r.Version == trial.Version {
		r.Trials = max(r.Trials, trial.Trials)
		r.changedAt, r.trialAt = now, now.Add(trialDelay(r.Trials))
		r.trialBy = request
	}
}

// ReturnTrial takes back the trial that a request was, as it reached no server, and returns
// the record of its part. The next trial is due a while later.
func (g *Registry) ReturnTrial(now time.Time, parts []string, request string) (Record, bool) {
	for _, part := range parts {
		r := g.lookup(now, part)
		if r == nil || r.Trials == 0 || r.trialBy != request {
			continue
		}
		r.Version++
		r.Trials--
		r.changedAt, r.trialAt, r.trialBy = now, now.Add(firstTrialDelay), ""
		g.unsaved = g.unsaved || r.kept
		return *r, true
	}
	return Record{}, false
}

func (g *Registry) condemned(now time.Time, parts []string) []*Record {
	g.judgeDue(now)
	var list []*Record
	for _, part := range parts {
		if r := g.lookup(now, part); r != nil && r.condemned && !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	return list
}

func (r *Record) trialDue(now time.Time, isTrialHost func(part string) bool) bool {
	return r.Trials < maxTrials && !r.claiming && !now.Before(r.trialAt) && isTrialHost(r.Part)
}

// NextTrial returns when the next trial is due, or when the record expires if no
// trial is left.
func (r *Record) NextTrial() time.Time {
	if r.Trials < maxTrials {
		return r.trialAt
	}
	return r.ExpiresAt
}

// Withdraw ends the accusation of a part at an operator's request. It returns
// false if the part is not accused.
func (g *Registry) Withdraw(now time.Time, part string) bool {
	r := g.lookup(now, part)
	if r == nil || len(r.Servers) == 0 {
		return false
	}
	g.withdraw(now, r)
	g.judge(now)
	return true
}

// withdraw ends the accusation of a record.
func (g *Registry) withdraw(now time.Time, r *Record) {
	r.withdraw(now)
	g.unsaved = g.unsaved || r.kept
}

// Accused returns the records of accused parts, those that changed last first.
func (g *Registry) Accused(now time.Time) []Record {
	return g.list(now, func(r *Record) bool { return len(r.Servers) > 0 })
}

// Shared returns what to tell other hosts: the condemned records and those that
// have changed lately.
func (g *Registry) Shared(now time.Time) []Report {
	if len(g.records) == 0 {
		return nil
	}
	list := g.list(now, func(r *Record) bool {
		return r.ExpiresAt.Sub(now) > unsharedPeriod && (r.condemned || now.Sub(r.changedAt) <= changedPeriod)
	})
	slices.SortStableFunc(list, func(a, b Record) int { return cmp.Compare(b.importance(), a.importance()) })
	var reports []Report
	for _, r := range list[:min(maxShared, len(list))] {
		reports = append(reports, r.report(now))
	}
	return reports
}

// report returns the record as it is told to others.
func (r *Record) report(now time.Time) Report {
	report := Report{Part: r.Part, Depth: r.Depth, Version: r.Version, Servers: r.Servers, Steps: r.Steps, Trials: r.Trials, ExpiresIn: r.ExpiresAt.Sub(now)}
	if len(r.runs) > 0 {
		for _, s := range r.Servers {
			run := r.runs[s]
			if at, known := r.endedAt[s]; known {
				run.Age = max(1, now.Sub(at))
			}
			report.Runs = append(report.Runs, run)
		}
	}
	return report
}

// importance orders the records that do not fit into one message: condemned ones go first,
// then shared parts of which ends were withdrawn, which other hosts may be about to
// condemn, and then those of more servers.
func (r *Record) importance() int {
	importance := 2 * len(r.Servers)
	shared := r.rank() > lastRank
	if shared {
		importance++
	}
	switch {
	case r.condemned:
		importance += 4 * maxServers
	case shared && r.Version > 0:
		importance += 2 * maxServers
	}
	return importance
}

func (g *Registry) list(now time.Time, keep func(*Record) bool) []Record {
	g.judgeDue(now)
	var list []Record
	for _, r := range g.records {
		if now.Before(r.ExpiresAt) && keep(r) {
			list = append(list, *r)
		}
	}
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.Part, b.Part))
	})
	return list
}

// lookup returns the record of a part, or nil if there is none that is valid.
func (g *Registry) lookup(now time.Time, part string) *Record {
	r := g.records[part]
	if r == nil || !now.Before(r.ExpiresAt) {
		return nil
	}
	return r
}

// put stores a record. If there are maxRecords already, it first evicts some.
func (g *Registry) put(now time.Time, r *Record) {
	if _, known := g.records[r.Part]; !known && len(g.records) >= maxRecords {
		g.evict(now)
	}
	g.records[r.Part] = r
}

// evict removes the expired records. If that frees no space, it also removes the
// oldest of those with the fewest servers.
func (g *Registry) evict(now time.Time) {
	var evicted *Record
	for part, r := range g.records {
		if !now.Before(r.ExpiresAt) {
			delete(g.records, part)
			continue
		}
		if evicted == nil || cmp.Or(cmp.Compare(len(r.Servers), len(evicted.Servers)), r.changedAt.Compare(evicted.changedAt)) < 0 {
			evicted = r
		}
	}
	if len(g.records) >= maxRecords {
		delete(g.records, evicted.Part)
	}
}

func (g *Registry) unanswered(now time.Time, parts []string, period time.Duration) []string {
	var list []string
	for _, part := range parts {
		if !g.answeredWithin(now, part, period) {
			list = append(list, part)
		}
	}
	return list
}

func (g *Registry) answeredWithin(now time.Time, part string, period time.Duration) bool {
	a := g.slot(part)
	return a.part == part && !a.at.IsZero() && now.Sub(a.at) < period
}

func (g *Registry) slot(part string) *answer {
	return &g.answers[maphash.String(g.seed, part)&(answerSlots-1)]
}
