package route

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

const (
	// reportHold is how long a load report counts in full; afterwards it loses
	// half of its value each second, so that an engine whose keeper was lost
	// is not left out for good.
	reportHold = 3 * time.Second
	// shortestDown and longestDown bound how long a failed server is left out.
	shortestDown = 500 * time.Millisecond
	longestDown  = 16 * time.Second
	// probeFor is how long one probe keeps other probes away.
	probeFor = 10 * time.Second
	// meanShift is the weight of one sample in the mean service time, as 1/2^n.
	meanShift = 3
	// meanSamples is how many answers the mean service time needs to count.
	meanSamples = 8
)

// Load is what a keeper last reported of its back end. Running and Waiting
// include batch items; Batch counts those alone.
type Load struct {
	Running int
	Waiting int
	Batch   int
	// CacheEpoch is the start of the engine's prefix cache if that is new, 0
	// otherwise.
	CacheEpoch uint32
}

// server is what the router knows of one back end.
type server struct {
	backend services.Backend
	load    Load
	// reported is when load came, zero for never.
	reported time.Time
	// sent counts requests of this host in flight, by urgency; sentAtReport is
	// its value when load came: the part that load can contain.
	sent         [2]int
	sentAtReport [2]int
	// leaving says that the platform lists the server as leaving.
	leaving bool
	// failures counts failed connections in a row. While it is not 0, the
	// server gets nothing before downUntil, and one request at a time after.
	failures  int
	downUntil time.Time
	// probing says that the one request is on its way.
	probing bool
	// mean is the moving average of the time from first to last byte.
	mean    time.Duration
	samples int
	// generation is the number of times that the cache hints of the server
	// were forgotten; epoch and sequence are those of the last cache event
	// seen.
	generation uint32
	epoch      uint32
	sequence   uint64
}

// usable reports whether the server may get a request now.
func (s *server) usable(now time.Time, avoid []string) bool {
	if s.leaving || s.backend.Leaving || now.Before(s.downUntil) {
		return false
	}
	for _, name := range avoid {
		if name == s.backend.Name {
			return false
		}
	}
	return true
}

// queued returns the requests at the server that one of that urgency meets:
// batch makes way for online.
func (s *server) queued(now time.Time, u request.Urgency) int {
	online := s.others(now, s.load.Running+s.load.Waiting-s.load.Batch, request.Online)
	if u == request.Online {
		return online
	}
	return online + s.others(now, s.load.Batch, request.Batch)
}

// others returns the reported count corrected by what this host has sent and
// finished since the report.
func (s *server) others(now time.Time, reported int, u request.Urgency) int {
	foreign := max(0, reported-s.sentAtReport[u])
	if age := now.Sub(s.reported); age > reportHold {
		foreign >>= min(30, 1+int((age-reportHold)/time.Second))
	}
	return foreign + s.sent[u]
}

// cost is the load that a request meets, in shares of the slots.
func (s *server) cost(now time.Time, u request.Urgency) float64 {
	return float64(s.queued(now, u)) / float64(s.backend.Slots)
}

// wait estimates how long a request waits for a slot, 0 if too little is known.
func (s *server) wait(now time.Time, u request.Urgency) time.Duration {
	over := s.queued(now, u) - s.backend.Slots + 1
	if over <= 0 || s.samples < meanSamples {
		return 0
	}
	return time.Duration(over) * s.mean / time.Duration(s.backend.Slots)
}

// served takes the time from first to last byte of one whole answer.
func (s *server) served(d time.Duration) {
	if s.samples == 0 {
		s.mean = d
	}
	s.samples++
	s.mean += (d - s.mean) >> meanShift
}
