package crash

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
)

const (
	// watchPeriod is how long a server is watched. Crashed servers are back after some
	// seconds. The lost calls must be remembered for longer, see package suspect.
	watchPeriod = 15 * time.Second
	// listInterval is the interval at which the list of servers is checked after
	// firstLooks.
	listInterval = 250 * time.Millisecond
	// refusalTime is how long the port of a watched server must refuse connections.
	// Looks may fall into the end of a cut, when a zone's servers come back one after
	// another.
	refusalTime = 50 * time.Millisecond
	// maxWatches bounds the servers that are watched at once.
	maxWatches = 256
)

// firstLooks are the first looks at a server after the loss of a connection, most of
// which also dial its port.
var firstLooks = []struct {
	after time.Duration
	dials bool
}{
	{30 * time.Millisecond, true}, {150 * time.Millisecond, true}, {400 * time.Millisecond, false}, {700 * time.Millisecond, false}, {time.Second, true},
}

var confirmedLaterTotal = metrics.NewCounter("kingcupquay_crashes_confirmed_later_total")

// watch is a server that lost a connection and may have crashed.
type watch struct {
	server backend.Server
	began  time.Time
	// looks counts the looks since began, with the one that is due next.
	looks int
}

// nextLook returns when the look that follows n others is due, after the connection
// was lost, and whether the port is dialled then. It returns false after the last one.
func nextLook(n int) (after time.Duration, dials, ok bool) {
	if n < len(firstLooks) {
		return firstLooks[n].after, firstLooks[n].dials, true
	}
	after = firstLooks[len(firstLooks)-1].after + time.Duration(n+1-len(firstLooks))*listInterval
	return after, false, after <= watchPeriod
}

// Watch looks for evidence that a server which has lost a connection has crashed: its
// port refuses connections, or the list of servers shows that it ended. The crash is
// then recorded.
func (d *Detector) Watch(s backend.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	start := s.Start()
	if w, watched := d.watches[start]; watched {
		// While dials are left, these are for the new loss as well.
		if w.looks > len(firstLooks) {
			w.looks, w.began = 0, d.timer.Now()
		}
		return
	}
	if len(d.watches) >= maxWatches {
		d.log.Info("server not watched", "server", s.ID, "cause", "too many servers are")
		return
	}
	w := &watch{server: s, began: d.timer.Now()}
	d.watches[start] = w
	d.schedule(w)
}

// schedule plans the next look at a server, or ends its watch. The caller holds d.mu.
func (d *Detector) schedule(w *watch) {
	after, dials, ok := nextLook(w.looks)
	if !ok {
		delete(d.watches, w.server.Start())
		return
	}
	w.looks++
	delay := max(0, w.began.Add(after).Sub(d.timer.Now()))
	// A callback of the timer must not block on a dial.
	d.timer.After(delay, func(time.Time) { go d.look(w, dials) })
}

// look looks once for evidence that a server has crashed.
func (d *Detector) look(w *watch, dials bool) {
	evidence := ""
	switch {
	case d.directory.HasEnded(w.server):
		evidence = "it started again, or another server has its address"
	case dials:
		if crashed, _, _ := d.dial(context.Background(), w.server, refusalTime); crashed {
			evidence = "its port refuses connections"
		}
	}
	d.mu.Lock()
	if evidence == "" {
		d.schedule(w)
		d.mu.Unlock()
		return
	}
	delete(d.watches, w.server.Start())
	d.mu.Unlock()
	confirmedLaterTotal.Inc()
	d.log.Info("crash confirmed later", "server", w.server.ID, "after_ms", d.timer.Now().Sub(w.began).Milliseconds(), "evidence", evidence)
	d.records.Ended(w.server.Start())
}
