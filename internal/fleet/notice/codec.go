package notice

import (
	"math"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/capacity"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
	"github.com/kingcupquay/kingcupquay/internal/serving/serverlimit"
	"github.com/kingcupquay/kingcupquay/internal/serving/suspect"
)

// protocolVersion is the version of the datagrams that this release sends. A
// later release that changes their meaning must go on reading this one's.
const protocolVersion = 1

// Message is a decoded datagram. One of the fields is set.
type Message struct {
	Notice  *Notice
	Summary *Summary
	Answers *Answers

	FreshnessQuery  *FreshnessQuery
	FreshnessAnswer *FreshnessAnswer
	Tokens          *Tokens
}

// Changes are the changes of the list of servers after the revision From up to
// the revision To, in order.
type Changes struct {
	From, To int64
	Events   []store.Event
	// Grace is the time for which a deleted key may still be created again by
	// its writer.
	Grace time.Duration
	// Away is how long the relay has been without the store; 0 if it has it.
	Away time.Duration
}

// Encode returns the notice as a datagram.
func (n Notice) Encode() ([]byte, error) {
	status := &wire.Status{
		ConfigVersion: n.ConfigVersion, ServersRevision: n.ServersRevision, AcquiredJobs: n.AcquiredJobs, EndedJobs: n.EndedJobs,
		KnownAddresses: n.KnownAddresses, BatchSeen: n.BatchSeen, BatchSeenStart: n.BatchSeenStart, Loads: encodeLoads(n.Loads),
		Coordinator: n.Coordinator, Suspects: encodeSuspects(n.Suspects), Limits: encodeLimits(n.Limits), Home: n.Home,
		Capacity: encodeCapacity(n.Capacity),
	}
	for service, b := range n.Backlogs {
		status.Backlogs = append(status.Backlogs, &wire.Backlog{
			Service: service, Items: uint32(b.Items), SlackMs: b.Slack, Planned: uint32(b.Planned), Deferred: uint32(b.Deferred),
		})
	}
	for _, a := range n.Asks {
		status.Asks = append(status.Asks, &wire.Ask{
			Id: a.ID, Service: a.Service, MaxWaitMs: uint32(a.MaxWait.Milliseconds()), Avoid: a.Avoid, Final: a.Final,
		})
	}
	for server, rate := range n.FailureRates {
		status.FailureRates = append(status.FailureRates, &wire.FailureRate{Server: server, Rate: uint32(rate * 1000)})
	}
	for service, d := range n.SlotTimes {
		status.SlotTimes = append(status.SlotTimes, &wire.SlotTime{Service: service, MeanUs: uint32(d.Microseconds())})
	}
	return encode(n.Member, n.Sequence, &wire.Datagram{Body: &wire.Datagram_Status{Status: status}})
}

func decodeNotice(d *wire.Datagram) *Notice {
	status := d.GetStatus()
	n := &Notice{
		Member: decodeMember(d.GetSender()), Sequence: d.GetSequence(), ConfigVersion: status.GetConfigVersion(), ServersRevision: status.GetServersRevision(),
		AcquiredJobs: status.GetAcquiredJobs(), EndedJobs: status.GetEndedJobs(), KnownAddresses: status.GetKnownAddresses(),
		BatchSeen: status.GetBatchSeen(), BatchSeenStart: status.GetBatchSeenStart(), Loads: decodeLoads(status.GetLoads()),
		Coordinator: status.GetCoordinator(), Suspects: decodeSuspects(status.GetSuspects()), Limits: decodeLimits(status.GetLimits()), Home: status.GetHome(),
		Capacity: decodeCapacity(status.GetCapacity()),
	}
	if list := status.GetBacklogs(); len(list) > 0 {
		n.Backlogs = make(map[string]scheduler.Backlog, len(list))
		for _, b := range list {
			n.Backlogs[b.GetService()] = boundBacklog(scheduler.Backlog{
				Items: int(b.GetItems()), Slack: b.GetSlackMs(), Planned: int(b.GetPlanned()), Deferred: int(b.GetDeferred()),
			})
		}
	}
	for _, a := range status.GetAsks() {
		n.Asks = append(n.Asks, scheduler.Ask{
			ID: a.GetId(), Service: a.GetService(), MaxWait: milliseconds(a.GetMaxWaitMs()), Avoid: a.GetAvoid(), Final: a.GetFinal(),
		})
	}
	if list := status.GetFailureRates(); len(list) > 0 {
		n.FailureRates = make(map[string]float64, len(list))
		for _, f := range list {
			n.FailureRates[f.GetServer()] = min(1, float64(f.GetRate())/1000)
		}
	}
	if list := status.GetSlotTimes(); len(list) > 0 {
		n.SlotTimes = make(map[string]time.Duration, len(list))
		for _, t := range list {
			n.SlotTimes[t.GetService()] = time.Duration(t.GetMeanUs()) * time.Microsecond
		}
	}
	return n
}

// Encode returns the summary as a datagram.
func (s Summary) Encode() ([]byte, error) {
	summary := &wire.Summary{
		ConfigVersion: s.ConfigVersion, RosterVersion: s.RosterVersion, EndedJobs: s.EndedJobs, Loads: encodeLoads(s.Loads),
		Suspects: encodeSuspects(s.Suspects), Limits: encodeLimits(s.Limits),
		Servers: &wire.Changes{
			From: s.Servers.From, To: s.Servers.To, GraceMs: uint32(s.Servers.Grace.Milliseconds()), AwayMs: uint32(s.Servers.Away.Milliseconds()),
		},
	}
	for _, e := range s.Servers.Events {
		summary.Servers.Changes = append(summary.Servers.Changes, &wire.Change{Key: e.Key, Value: e.Value, Revision: e.ModRevision, Deleted: e.Deleted})
	}
	for _, m := range s.Roster {
		summary.Roster = append(summary.Roster, encodeMember(m))
	}
	for service, l := range s.Services {
		summary.Services = append(summary.Services, &wire.ServiceLoad{
			Service: service, Slots: uint32(l.Slots), Online: uint32(l.Online), Batch: uint32(l.Batch), Planned: uint32(l.Planned),
		})
	}
	for host, jobs := range s.AcquiredJobs {
		summary.Acquired = append(summary.Acquired, &wire.JobOwner{Host: host, Jobs: jobs})
	}
	return encode(s.Member, s.Sequence, &wire.Datagram{Body: &wire.Datagram_Summary{Summary: summary}})
}

func decodeSummary(d *wire.Datagram) *Summary {
	summary := d.GetSummary()
	servers := summary.GetServers()
	s := &Summary{
		Member: decodeMember(d.GetSender()), Sequence: d.GetSequence(), ConfigVersion: summary.GetConfigVersion(), RosterVersion: summary.GetRosterVersion(),
		EndedJobs: summary.GetEndedJobs(), Loads: decodeLoads(summary.GetLoads()), Services: make(map[string]scheduler.ZoneLoad),
		Servers:      Changes{From: servers.GetFrom(), To: servers.GetTo(), Grace: milliseconds(servers.GetGraceMs()), Away: milliseconds(servers.GetAwayMs())},
		AcquiredJobs: make(map[string][]string), Suspects: decodeSuspects(summary.GetSuspects()), Limits: decodeLimits(summary.GetLimits()),
	}
	for _, c := range servers.GetChanges() {
		s.Servers.Events = append(s.Servers.Events, store.Event{
			Entry: store.Entry{Key: c.GetKey(), Value: c.GetValue(), ModRevision: c.GetRevision()}, Deleted: c.GetDeleted(),
		})
	}
	for _, m := range summary.GetRoster() {
		s.Roster = append(s.Roster, decodeMember(m))
	}
	for _, l := range summary.GetServices() {
		s.Services[l.GetService()] = scheduler.ZoneLoad{
			Slots: int(l.GetSlots()), Online: int(l.GetOnline()), Batch: int(l.GetBatch()), Planned: bound(int(l.GetPlanned()), maxCount),
		}
	}
	for _, o := range summary.GetAcquired() {
		s.AcquiredJobs[o.GetHost()] = o.GetJobs()
	}
	return s
}

// Encode returns the answers as a datagram.
func (a Answers) Encode() ([]byte, error) {
	answers := &wire.Answers{}
	for _, answer := range a.Answers {
		c := answer.Choice
		answers.Answers = append(answers.Answers, &wire.Answer{
			Ask: answer.ID, Server: c.Server.ID, Zone: c.Zone, ExpectedWaitMs: uint32(c.Wait.Milliseconds()),
			RetryAfterMs: uint32(c.RetryAfter.Milliseconds()), ReportAgeMs: uint32(c.ReportAge.Milliseconds()),
		})
	}
	for _, g := range a.Batch {
		answers.Batch = append(answers.Batch, &wire.BatchGrant{Number: g.Number, Server: g.Server})
	}
	for _, k := range a.Keep {
		answers.Keep = append(answers.Keep, &wire.Keep{Server: k.Server, Items: uint32(k.Items)})
	}
	return encode(a.Member, 0, &wire.Datagram{Body: &wire.Datagram_Answers{Answers: answers}})
}

func decodeAnswers(d *wire.Datagram) *Answers {
	a := &Answers{Member: decodeMember(d.GetSender())}
	for _, answer := range d.GetAnswers().GetAnswers() {
		a.Answers = append(a.Answers, Answer{ID: answer.GetAsk(), Choice: scheduler.Choice{
			Server: backend.Server{ID: answer.GetServer()}, Placed: answer.GetServer() != "", Zone: answer.GetZone(), Wait: milliseconds(answer.GetExpectedWaitMs()),
			RetryAfter: milliseconds(answer.GetRetryAfterMs()), ReportAge: milliseconds(answer.GetReportAgeMs()),
		}})
	}
	for _, g := range d.GetAnswers().GetBatch() {
		a.Batch = append(a.Batch, scheduler.BatchGrant{Number: g.GetNumber(), Server: g.GetServer()})
	}
	for _, k := range d.GetAnswers().GetKeep() {
		a.Keep = append(a.Keep, scheduler.Keep{Server: k.GetServer(), Items: int(k.GetItems())})
	}
	return a
}

func encode(sender Member, sequence int64, d *wire.Datagram) ([]byte, error) {
	d.Version, d.Sender, d.Sequence = protocolVersion, encodeMember(sender), sequence
	datagram, err := proto.Marshal(d)
	return datagram, trace.Wrap(err)
}

// Decode parses a datagram.
func Decode(datagram []byte) (Message, error) {
	if len(datagram) > 0 && datagram[0] == '{' {
		n, err := decodeLegacy(datagram)
		if err != nil {
			return Message{}, err
		}
		return Message{Notice: n}, n.check()
	}
	d := new(wire.Datagram)
	if err := proto.Unmarshal(datagram, d); err != nil {
		return Message{}, trace.BadParameter("datagram: %v", err)
	}
	if d.GetVersion() != protocolVersion {
		return Message{}, trace.BadParameter("datagram of version %d, not %d", d.GetVersion(), protocolVersion)
	}
	if err := decodeMember(d.GetSender()).check(); err != nil {
		return Message{}, err
	}
	switch d.GetBody().(type) {
	case *wire.Datagram_Status:
		return Message{Notice: decodeNotice(d)}, nil
	case *wire.Datagram_Summary:
		return Message{Summary: decodeSummary(d)}, nil
	case *wire.Datagram_Answers:
		return Message{Answers: decodeAnswers(d)}, nil
	case *wire.Datagram_FreshnessQuery:
		return Message{FreshnessQuery: decodeFreshnessQuery(d)}, nil
	case *wire.Datagram_FreshnessAnswer:
		return Message{FreshnessAnswer: decodeFreshnessAnswer(d)}, nil
	case *wire.Datagram_TokenRequest, *wire.Datagram_TokenAnswer, *wire.Datagram_TokenReturn:
		return Message{Tokens: decodeTokens(d)}, nil
	}
	return Message{}, trace.BadParameter("datagram without a known body")
}

func (m Member) check() error {
	if m.Host == "" || m.Address == "" {
		return trace.BadParameter("notice without host or address")
	}
	return nil
}

func encodeMember(m Member) *wire.Member {
	return &wire.Member{Host: m.Host, Zone: m.Zone, Address: m.Address, Start: m.Start, Weight: uint32(m.Weight), Stopping: m.Stopping, CutOff: m.CutOff}
}

func decodeMember(m *wire.Member) Member {
	return Member{Host: m.GetHost(), Zone: m.GetZone(), Address: m.GetAddress(), Start: m.GetStart(), Weight: int(m.GetWeight()), Stopping: m.GetStopping(), CutOff: m.GetCutOff()}
}

func encodeLoads(loads map[string]scheduler.Load) []*wire.ServerLoad {
	list := make([]*wire.ServerLoad, 0, len(loads))
	for server, l := range loads {
		s := &wire.ServerLoad{Server: server, Online: uint32(l.Online), Batch: uint32(l.Batch), Sent: uint32(l.Sent)}
		for _, ms := range l.Ends {
			s.EndsMs = append(s.EndsMs, uint32(max(0, ms)))
		}
		for _, level := range l.Levels {
			s.Levels = append(s.Levels, uint32(max(0, level)))
		}
		list = append(list, s)
	}
	return list
}

// maxCount bounds the counts of a message that is received.
const maxCount = 1 << 20

// bound returns n, at least 0 and at most limit.
func bound(n, limit int) int { return max(0, min(n, limit)) }

// boundLoad returns a load with counts and times that a host can have.
func boundLoad(l scheduler.Load) scheduler.Load {
	l.Online, l.Batch, l.Sent = bound(l.Online, maxCount), bound(l.Batch, maxCount), bound(l.Sent, maxCount)
	for i, ms := range l.Ends {
		l.Ends[i] = bound(ms, math.MaxUint32)
	}
	for i, level := range l.Levels {
		l.Levels[i] = bound(level, maxCount)
	}
	return l
}

func boundBacklog(b scheduler.Backlog) scheduler.Backlog {
	b.Items, b.Planned, b.Deferred = bound(b.Items, maxCount), bound(b.Planned, maxCount), bound(b.Deferred, maxCount)
	return b
}

func decodeLoads(list []*wire.ServerLoad) map[string]scheduler.Load {
	loads := make(map[string]scheduler.Load, len(list))
	for _, s := range list {
		l := scheduler.Load{Online: int(s.GetOnline()), Batch: int(s.GetBatch()), Sent: int(s.GetSent())}
		for _, ms := range s.GetEndsMs() {
			l.Ends = append(l.Ends, int(ms))
		}
		for _, level := range s.GetLevels() {
			l.Levels = append(l.Levels, int(level))
		}
		loads[s.GetServer()] = boundLoad(l)
	}
	return loads
}

func encodeLimits(limits map[string]serverlimit.Limit) []*wire.ServerLimit {
	list := make([]*wire.ServerLimit, 0, len(limits))
	for server, l := range limits {
		list = append(list, &wire.ServerLimit{Server: server, PerSecond: l.PerSecond, AgeMs: uint32(l.Age.Milliseconds())})
	}
	return list
}

// decodeLimits leaves out values that no host sends.
func decodeLimits(list []*wire.ServerLimit) map[string]serverlimit.Limit {
	limits := make(map[string]serverlimit.Limit, len(list))
	for _, l := range list {
		if l.GetPerSecond() >= 0 && !math.IsInf(l.GetPerSecond(), 1) {
			limits[l.GetServer()] = serverlimit.Limit{PerSecond: l.GetPerSecond(), Age: milliseconds(l.GetAgeMs())}
		}
	}
	return limits
}

func encodeCapacity(reports []capacity.Report) []*wire.CapacitySample {
	list := make([]*wire.CapacitySample, 0, len(reports))
	for _, r := range reports {
		list = append(list, &wire.CapacitySample{
			Server: r.Server, Kind: uint32(r.Kind), TookUs: uint32(min(r.Took.Microseconds(), math.MaxUint32)), Load: uint32(bound(r.Load, maxCount)), Count: uint32(bound(r.Count, maxCount)),
		})
	}
	return list
}

// decodeCapacity leaves out kinds that this build does not know.
func decodeCapacity(list []*wire.CapacitySample) []capacity.Report {
	var reports []capacity.Report
	for _, s := range list {
		if s.GetKind() < uint32(capacity.Kinds) {
			reports = append(reports, capacity.Report{Server: s.GetServer(), Sample: capacity.Sample{
				Kind: capacity.Kind(s.GetKind()), Took: time.Duration(s.GetTookUs()) * time.Microsecond, Load: int(min(s.GetLoad(), maxCount)), Count: int(min(s.GetCount(), maxCount)),
			}})
		}
	}
	return reports
}

func encodeSuspects(reports []suspect.Report) []*wire.SuspectPart {
	list := make([]*wire.SuspectPart, 0, len(reports))
	for _, r := range reports {
		part := &wire.SuspectPart{
			Part: r.Part, Depth: int32(r.Depth), Version: r.Version, Servers: r.Servers, Steps: uint32(min(r.Steps, maxCount)), Trials: uint32(r.Trials), ExpiresInMs: uint32(r.ExpiresIn.Milliseconds()),
		}
		for _, run := range r.Runs {
			part.Runs = append(part.Runs, &wire.SuspectRun{TimeMs: uint32(run.Millis()), Events: uint32(min(run.Events, maxCount)), AgeMs: uint32(min(run.AgeMillis(), math.MaxUint32))})
		}
		list = append(list, part)
	}
	return list
}

func decodeSuspects(list []*wire.SuspectPart) []suspect.Report {
	var reports []suspect.Report
	for _, s := range list {
		report := suspect.Report{
			Part: s.GetPart(), Depth: int(s.GetDepth()), Version: s.GetVersion(), Servers: s.GetServers(), Steps: int(min(s.GetSteps(), maxCount)), Trials: int(min(s.GetTrials(), maxCount)),
			ExpiresIn: milliseconds(s.GetExpiresInMs()),
		}
		for _, run := range s.GetRuns() {
			report.Runs = append(report.Runs, suspect.Progress{Time: milliseconds(run.GetTimeMs()), Events: int(min(run.GetEvents(), maxCount)), Age: milliseconds(run.GetAgeMs())})
		}
		reports = append(reports, report)
	}
	return reports
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
