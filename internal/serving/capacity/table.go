// Package capacity estimates how fast each backend server is, how much slower it
// gets the more requests it runs, and how many at once it serves well.
//
// The input are times of requests: to the first event, between events, or of a
// whole answer, each with the number of requests that ran at the server. A time is
// compared with the median of the server's service at the same load, so a server
// that is slow because it is full does not count as slow. What remains is split in
// two: a level, which may change within seconds, and a slope, by which the server
// slows down more than others do when it runs more requests, and which changes
// slowly.
//
// A level is a median over cells of half a second, each of which counts once, so
// that a slow spell that is shorter than a few cells has no effect, however many
// requests it delays. If all of the newest cells say otherwise, the level follows
// them. A server without new samples drifts back to the typical one, so that it is
// tried again.
//
// The package reads neither the clock nor the network. A Table is not safe for
// concurrent use.
package capacity

import (
	"math"
	"slices"
	"time"
)

// Kind says what the time of a sample is.
type Kind uint8

// The kinds of samples.
const (
	// First is the time from sending a request to the first event of its answer.
	First Kind = iota
	// Step is the mean time between events.
	Step
	// Whole is the time of an answer that is no stream.
	Whole
	// Kinds is the number of kinds.
	Kinds
)

const (
	// cellTime is the time in which all samples of a server count as one. It is
	// shorter than the slow spells of servers, which are noise and last 0.6 s.
	cellTime = 500 * time.Millisecond
	// window is the age up to which cells count.
	window = 8 * time.Second
	// minCells is the least number of cells of an estimate. A spell covers at most
	// two of them, of which the first or the last only in part.
	minCells = 5
	// recentCells is the number of the newest cells that together override older
	// ones, if they are not older than recentWindow.
	recentCells  = 4
	recentWindow = 3 * time.Second
	// maxEntries bounds the memory of a server's samples.
	maxEntries = 48
	// lowQuantile is the quantile of the cells that is a server's level, and of the
	// values that is the typical time. Spells only lengthen times, so a median is more
	// often wrong.
	lowQuantile = 0.4
	// refreshInterval is the least time between two computations of an estimate.
	refreshInterval = 100 * time.Millisecond
	// driftAfter is the age from which an estimate drifts back to the typical
	// server, halving its difference in each driftHalfLife.
	driftAfter    = time.Second
	driftHalfLife = 3 * time.Second
	// bands is the number of parts that the slots of a server are divided into.
	bands = 4
	// slopeStep is by how much a slope moves at most with the samples of one cell, as
	// logarithm. The slopes of equal servers differ by up to slopeDeadZone, which is
	// left out. That of the lowest band with samples falls to lowestBandDecay of it
	// with each cell, as the level contains it.
	slopeStep       = 0.08
	slopeDeadZone   = 0.15
	lowestBandDecay = 0.9
	// slopeHalfLife is the time in which the slope of a band halves that gets no
	// samples, so that the band is tried again.
	slopeHalfLife = 20 * time.Second
	// minGain is the part of the throughput of an added request that a server must
	// gain by it: below, the others lose more than the added one gets.
	minGain = 0.1
	// maxLog bounds the logarithm of a server's time relative to the typical one.
	maxLog = 3.0
	// maxTook is the longest time of a sample.
	maxTook = time.Minute
)

// Server is a server as far as its capacity goes.
type Server struct {
	ID      string
	Service string
	Slots   int
}

// Sample is the mean of some times that were measured at a server.
type Sample struct {
	Kind Kind
	Took time.Duration
	// Load is the number of requests of all hosts that ran at the server.
	Load int
	// Count is the number of measurements.
	Count int
}

// valid reports whether the sample is one that a host can have measured.
func (s Sample) valid() bool {
	return s.Kind < Kinds && s.Took > 0 && s.Took <= maxTook && s.Load >= 0 && s.Count > 0
}

// Objective is what the requests at a server should not exceed; a zero field is no
// limit.
type Objective struct {
	First time.Duration
	Step  time.Duration
}

// Estimate is what is expected of a server at a load.
type Estimate struct {
	// First, Step and Whole are expected times, 0 if the service has no samples.
	First, Step, Whole time.Duration
	// Relative is how many times as long as the typical server of the service it
	// takes, 1 if that is not known.
	Relative float64
	// Cells is the number of cells with samples of the server, and Age the age of
	// the newest.
	Cells int
	Age   time.Duration
}

// Excess returns by how much the times to the first event and between events exceed an
// objective, or twice those of the typical server if that is more: a service may miss the
// objective at all servers.
func (e Estimate) Excess(o Objective) (first, step time.Duration) {
	over := func(took, limit time.Duration) time.Duration {
		if limit == 0 {
			return 0
		}
		return max(0, took-max(limit, time.Duration(2*float64(took)/e.Relative)))
	}
	return over(e.First, o.First), over(e.Step, o.Step)
}

// exceeds reports whether either time exceeds an objective; see Excess.
func (e Estimate) exceeds(o Objective) bool {
	first, step := e.Excess(o)
	return first > 0 || step > 0
}

// entry is the mean of a server's samples of one kind, band and cell.
type entry struct {
	cell  int64
	band  uint8
	kind  Kind
	count uint16
	// log is the mean logarithm of the times in seconds.
	log float32
}

// server is what is known about one server.
type server struct {
	service string
	slots   int
	// entries holds the samples, oldest first.
	entries []entry
	// level is the logarithm of the server's time relative to the typical one,
	// without the slope, as of levelAt, when the newest sample was measured. cells
	// is the number of cells that it was made of.
	level   float64
	levelAt time.Time
	cells   int
	// slope is by how much the logarithm grows in each band; see slopeAt.
	slope [bands]float64
	// slopeCell is the first cell that slope does not contain, seenCell the newest with
	// samples of a band.
	slopeCell int64
	seenCell  [bands]int64
	// stale is set if there are samples that level does not contain. The level is
	// computed anew after refreshInterval, last at updatedAt.
	stale     bool
	updatedAt time.Time
	// good is what Good returned at goodAt for an objective.
	good    int
	goodAt  time.Time
	goodFor Objective
	// reported is the state that Changes last returned.
	reported   Change
	reportedAt time.Time
}

// Table holds the estimates of all servers.
type Table struct {
	servers  map[string]*server
	services map[string]*typical
	pending  map[pendingKey]Sample
	// lastReported is the last of the samples that Reports returned.
	lastReported pendingKey
	// touched holds the servers with samples since Changes was last called.
	touched map[string]bool
}

// NewTable returns a table without samples.
func NewTable() *Table {
	return &Table{servers: make(map[string]*server), services: make(map[string]*typical), pending: make(map[pendingKey]Sample), touched: make(map[string]bool)}
}

// Observe adds a sample that this host measured, which Reports returns once.
func (t *Table) Observe(now time.Time, s Server, sample Sample) {
	if !sample.valid() {
		return
	}
	t.Merge(now, s, sample)
	t.queue(s.ID, sample)
}

// Merge adds a sample that another host measured.
func (t *Table) Merge(now time.Time, s Server, sample Sample) {
	if !sample.valid() || s.Slots < 1 {
		return
	}
	known := t.servers[s.ID]
	if known == nil || known.service != s.Service || known.slots != s.Slots {
		known = &server{service: s.Service, slots: s.Slots, reported: Change{Relative: 1, Good: s.Slots}}
		t.servers[s.ID] = known
	}
	e := entry{cell: cellOf(now), band: uint8(bandOf(sample.Load, s.Slots)), kind: sample.Kind, log: float32(math.Log(sample.Took.Seconds())), count: uint16(min(sample.Count, math.MaxUint16/2))}
	if n := len(known.entries); n > 0 && known.entries[n-1].cell < e.cell {
		// The slope needs each cell, also if nobody asks for the estimate.
		t.current(now, s)
	}
	known.stale, t.touched[s.ID] = true, true
	for i := len(known.entries) - 1; i >= 0 && known.entries[i].cell >= e.cell; i-- {
		if o := &known.entries[i]; o.cell == e.cell && o.band == e.band && o.kind == e.kind {
			o.count = min(o.count+e.count, math.MaxUint16/2)
			o.log += (e.log - o.log) * float32(e.count) / float32(o.count)
			return
		}
	}
	if len(known.entries) == maxEntries {
		known.entries = slices.Delete(known.entries, 0, 1)
	}
	known.entries = append(known.entries, e)
	t.typical(s.Service).add(e)
}

// Remove forgets a server.
func (t *Table) Remove(id string) {
	delete(t.servers, id)
	delete(t.touched, id)
}

// Expect returns what is expected of a server that runs load requests.
func (t *Table) Expect(now time.Time, s Server, load int) Estimate {
	e := Estimate{Relative: 1}
	band := bandOf(load, s.Slots)
	if known := t.current(now, s); known != nil {
		e.Relative = math.Exp(known.levelNow(now) + known.slopeAt(band))
		e.Cells, e.Age = known.cells, now.Sub(known.levelAt)
	}
	if service := t.services[s.Service]; service != nil {
		for kind, d := range [...]*time.Duration{First: &e.First, Step: &e.Step, Whole: &e.Whole} {
			if log, ok := service.at(Kind(kind), band); ok {
				*d = time.Duration(math.Exp(log) * e.Relative * float64(time.Second))
			}
		}
	}
	return e
}

// Relative returns how many times as long as the typical server of its service a
// server takes that runs load requests, 1 if that is not known.
func (t *Table) Relative(now time.Time, s Server, load int) float64 {
	known := t.current(now, s)
	if known == nil {
		return 1
	}
	return math.Exp(known.levelNow(now) + known.slopeAt(bandOf(load, s.Slots)))
}

// Good returns how many requests at once a server serves well, at least 1 and at
// most its slots: as many as still raise its throughput, and as it serves within
// the objective.
func (t *Table) Good(now time.Time, s Server, o Objective) int {
	known := t.current(now, s)
	if known == nil {
		return max(1, s.Slots)
	}
	if known.good == 0 || known.goodFor != o || now.Sub(known.goodAt) >= refreshInterval {
		known.good, known.goodAt, known.goodFor = t.goodConcurrency(now, s, known, o), now, o
	}
	return known.good
}

// goodConcurrency is Good for a server with an estimate.
func (t *Table) goodConcurrency(now time.Time, s Server, known *server, o Objective) int {
	service := t.typical(s.Service)
	good, best := 0, 0.0
	for band := range bands {
		n := s.Slots * (band + 1) / bands
		if n == 0 || n == good {
			continue
		}
		throughput := float64(n) / math.Exp(service.slope(band)+known.slopeAt(band))
		if good > 0 && throughput < best*(1+minGain*(float64(n)/float64(good)-1)) {
			break
		}
		if good > 0 && t.Expect(now, s, n).exceeds(o) {
			break
		}
		good, best = n, throughput
	}
	if t.Expect(now, s, good).exceeds(o) {
		return 1
	}
	return max(1, good)
}

// current returns a server with an up-to-date estimate, nil if it has too few
// samples.
func (t *Table) current(now time.Time, s Server) *server {
	known := t.servers[s.ID]
	if known == nil || known.service != s.Service || known.slots != s.Slots {
		return nil
	}
	if known.stale && now.Sub(known.updatedAt) >= refreshInterval {
		known.stale, known.updatedAt = false, now
		known.update(now, t.typical(s.Service))
	}
	if known.cells < minCells {
		return nil
	}
	return known
}

// update computes the level and the slope anew.
func (s *server) update(now time.Time, service *typical) {
	newest := cellOf(now)
	oldest := newest - int64(window/cellTime)
	s.entries = slices.DeleteFunc(s.entries, func(e entry) bool { return e.cell < oldest })
	cells := s.cellValues(service)
	if len(cells) == 0 {
		return
	}
	values := make([]float64, len(cells))
	for i, c := range cells {
		values[i] = c.log
	}
	recent := values[max(0, len(values)-recentCells):]
	followRecent := len(recent) == recentCells && time.Duration(newest-cells[len(cells)-recentCells].cell)*cellTime <= recentWindow
	low, high := slices.Min(recent), slices.Max(recent)
	level := lowQuantileOf(slices.Clone(values))
	if followRecent {
		level = min(max(level, low), high)
	}
	s.level, s.levelAt, s.cells = min(max(level, -maxLog), maxLog), now, len(cells)
	s.updateSlope(newest, service)
}

// cellValue is the logarithm of a server's time relative to the typical one in a
// cell, without the slope.
type cellValue struct {
	cell int64
	log  float64
}

// cellValues returns a value for each cell with samples, oldest first. Times
// between events count more than those to the first event, which depend on the
// prompt.
func (s *server) cellValues(service *typical) []cellValue {
	var cells []cellValue
	for i := 0; i < len(s.entries); {
		end := i
		var sums [Kinds]struct{ log, count float64 }
		for ; end < len(s.entries) && s.entries[end].cell == s.entries[i].cell; end++ {
			e := s.entries[end]
			if usual, ok := service.at(e.kind, int(e.band)); ok {
				sum := &sums[e.kind]
				sum.log += (float64(e.log) - usual - s.slopeAt(int(e.band))) * float64(e.count)
				sum.count += float64(e.count)
			}
		}
		for _, kind := range []Kind{Step, Whole, First} {
			if sum := sums[kind]; sum.count > 0 {
				cells = append(cells, cellValue{cell: s.entries[i].cell, log: sum.log / sum.count})
				break
			}
		}
		i = end
	}
	return cells
}

// updateSlope moves the slope of each band towards what its samples take longer than the
// level, by those of the cells that ended since the last time. Each moves it by as much,
// however far off it is, so that a few seconds in which the level lags behind change
// little.
func (s *server) updateSlope(newest int64, service *typical) {
	if newest == s.slopeCell {
		return
	}
	idle := math.Exp2(-float64(min(newest-s.slopeCell, 1000)) * cellTime.Seconds() / slopeHalfLife.Seconds())
	var seen [bands]bool
	for _, e := range s.entries {
		usual, ok := service.at(e.kind, int(e.band))
		if e.cell < s.slopeCell || e.cell >= newest || !ok || s.cells < minCells {
			continue
		}
		seen[e.band], s.seenCell[e.band] = true, e.cell
		move := slopeStep * lowQuantile
		if float64(e.log)-usual-s.level < s.slope[e.band] {
			move = -slopeStep * (1 - lowQuantile)
		}
		s.slope[e.band] = min(max(s.slope[e.band]+move, 0), maxLog)
	}
	s.slopeCell = newest
	// The level stands for the lowest band that the server was lately seen at.
	lowest := true
	for band := range bands {
		recent := s.seenCell[band] > 0 && time.Duration(newest-s.seenCell[band])*cellTime < slopeHalfLife
		if !seen[band] || lowest && recent {
			s.slope[band] *= idle
		}
		if lowest && recent {
			s.slope[band] *= lowestBandDecay
			lowest = false
		}
	}
}

// slopeAt returns by how much more than others the server slows down in a band, as
// logarithm. It does not fall with the band.
func (s *server) slopeAt(band int) float64 {
	highest := 0.0
	for _, v := range s.slope[:band+1] {
		highest = max(highest, v-slopeDeadZone)
	}
	return highest
}

// levelNow returns the level, which drifts back while there are no samples.
func (s *server) levelNow(now time.Time) float64 {
	idle := now.Sub(s.levelAt) - driftAfter
	if idle <= 0 {
		return s.level
	}
	return s.level * math.Exp2(-idle.Seconds()/driftHalfLife.Seconds())
}

func cellOf(now time.Time) int64 { return now.UnixNano() / int64(cellTime) }

// bandOf returns the band of a load. A server runs no more requests than it has
// slots.
func bandOf(load, slots int) int {
	slots = max(1, slots)
	return (min(max(load, 1), slots)*bands - 1) / slots
}

// lowQuantileOf returns the lowQuantile of values, which it sorts.
func lowQuantileOf(values []float64) float64 {
	slices.Sort(values)
	at := lowQuantile * float64(len(values)-1)
	i := int(at)
	if i+1 == len(values) {
		return values[i]
	}
	return values[i] + (at-float64(i))*(values[i+1]-values[i])
}
