package route

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

const (
	// reportDecayAfter is how long a load report counts in full. After that, its
	// value halves each second, so that an engine whose keeper stopped reporting
	// does not stay excluded.
	reportDecayAfter = 3 * time.Second
	// minBackoff and maxBackoff bound how long a failed server gets no requests.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 16 * time.Second
	// probeTimeout is how long an unanswered probe prevents further probes.
	probeTimeout = 10 * time.Second
	// meanShift sets the weight of one sample in the mean service time to
	// 1/2^meanShift.
	meanShift = 3
	// minMeanSamples is the number of samples from which on the mean service time
	// is used.
	minMeanSamples = 8
)

// Load is the last load that a keeper reported for its backend server. Running
// and Waiting include batch items; Batch counts only those.
type Load struct {
	Running int
	Waiting int
	Batch   int
	// CacheEpoch identifies the start of the engine's prefix cache if that is
	// new. Otherwise it is 0.
	CacheEpoch uint32
}

// server is the router's state of one backend server.
type server struct {
	backend services.Backend
	load    Load
	// reportedAt is when load was received, or zero if it never was.
	reportedAt time.Time
	// inFlight counts this host's requests in flight by urgency.
	// inFlightAtReport is its value when load was received: the number of this
	// host's requests that load may include.
	inFlight         [2]int
	inFlightAtReport [2]int
	// leaving reports whether the platform lists the server as leaving.
	leaving bool
	// failures counts consecutive failed connections. While it is not 0, the
	// server gets no requests before backoffUntil, and one at a time after it.
	failures     int
	backoffUntil time.Time
	// probing reports whether that one request, the probe, is in flight.
	probing bool
	// meanServiceTime is the moving average of the time from the first byte of a
	// response to the last.
	meanServiceTime time.Duration
	samples         int
	// generation is the number of times that the cache hints of the server were
	// invalidated. epoch and sequence are those of the last cache event.
	generation uint32
	epoch      uint32
	sequence   uint64
}

// usable reports whether the server may get a request now.
func (s *server) usable(now time.Time, avoid []string) bool {
	if s.leaving || s.backend.Leaving || now.Before(s.backoffUntil) {
		return false
	}
	for _, name := range avoid {
		if name == s.backend.Name {
			return false
		}
	}
	return true
}

// competing returns the number of requests at the server that compete with a
// request of that urgency. Batch items are preempted by online requests, so they
// do not count for those.
func (s *server) competing(now time.Time, u request.Urgency) int {
	online := s.currentCount(now, s.load.Running+s.load.Waiting-s.load.Batch, request.Online)
	if u == request.Online {
		return online
	}
	return online + s.currentCount(now, s.load.Batch, request.Batch)
}

// currentCount returns the reported count, reduced if the report is old and
// corrected by the requests that this host has sent and finished since the
// report.
func (s *server) currentCount(now time.Time, reported int, u request.Urgency) int {
	otherHosts := max(0, reported-s.inFlightAtReport[u])
	if age := now.Sub(s.reportedAt); age > reportDecayAfter {
		otherHosts >>= min(30, 1+int((age-reportDecayAfter)/time.Second))
	}
	return otherHosts + s.inFlight[u]
}

// cost returns the number of competing requests as a fraction of the slots.
func (s *server) cost(now time.Time, u request.Urgency) float64 {
	return float64(s.competing(now, u)) / float64(s.backend.Slots)
}

// estimateWait estimates how long a request waits for a slot. It returns 0 if
// there are too few samples of the service time.
func (s *server) estimateWait(now time.Time, u request.Urgency) time.Duration {
	excess := s.competing(now, u) - s.backend.Slots + 1
	if excess <= 0 || s.samples < minMeanSamples {
		return 0
	}
	return time.Duration(excess) * s.meanServiceTime / time.Duration(s.backend.Slots)
}

// recordServiceTime adds the time from the first to the last byte of a complete
// response to the mean.
func (s *server) recordServiceTime(d time.Duration) {
	if s.samples == 0 {
		s.meanServiceTime = d
	}
	s.samples++
	s.meanServiceTime += (d - s.meanServiceTime) >> meanShift
}
