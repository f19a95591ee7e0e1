// Package silence decides how long a stream that gets no events stays with its
// server before it moves to another one.
//
// A move costs a second slot and the processing of the prompt, and may itself be
// delayed. It pays only if the server is dead or hangs. A server in a slow spell, or
// a lost packet of one connection, looks the same to the stream. Two things tell
// them apart: whether the server still sends events to other requests of the host,
// and how long it usually takes between events. In any case the stream moves while
// there is time to resume it within its pause objective.
//
// The package reads neither the clock nor the network.
package silence

import "time"

const (
	// minPart times the pause objective is how long a stream stays at least.
	minPart = 0.25
	// slowSteps is after how many usual steps of silence a server counts as dead
	// that sends nothing to any request of the host. In a slow spell a step takes 2.5
	// times as long, and steps vary by half.
	slowSteps = 4
	// A move away from a server that may be dead is given moveFactor times the time
	// that it usually takes, as the next server may be busy. If the server is alive,
	// most likely a packet was lost, which is sent again after 200 ms or a little
	// more: a move before that is for nothing, and may itself lose one. Any move is
	// given minMove.
	moveFactor = 2
	minMove    = 50 * time.Millisecond
	// moveOverhead is the time to find a place and to open a connection.
	moveOverhead = 10 * time.Millisecond
	// freshPart is the part of a stream's silence within which its server must have
	// sent something to another request to count as alive.
	freshPart = 0.5
)

// Stream is the state of a stream that waits for an event.
type Stream struct {
	// Silent is the time since its last event, ServerSilent that since its server
	// last sent any event or answer to this host.
	Silent, ServerSilent time.Duration
	// Pause is the stream's objective for the longest time between two events.
	Pause time.Duration
	// Step is the usual time until the server sends the event that is waited for, and
	// First that from sending a request to its first event; 0 if not known.
	Step, First time.Duration
}

// latest returns the silence after which a move that is given a time could not meet the
// objective.
func (s Stream) latest(move time.Duration) time.Duration {
	return max(s.least(), s.Pause-max(minMove, move))
}

// least is the least silence after which the stream moves.
func (s Stream) least() time.Duration { return time.Duration(minPart * float64(s.Pause)) }

// Patience returns how much longer the stream stays with its server if nothing
// arrives; it moves if that is 0.
func (s Stream) Patience() time.Duration {
	move := s.First + moveOverhead
	dead := min(s.latest(moveFactor*move), max(s.least(), slowSteps*s.Step))
	if !s.alive() {
		return max(0, dead-s.Silent)
	}
	// The server counts as dead if the others get nothing for as long.
	return max(0, min(s.latest(move)-s.Silent, dead-s.ServerSilent))
}

// alive reports whether the server sends events to other requests.
func (s Stream) alive() bool { return float64(s.ServerSilent) < freshPart*float64(s.Silent) }
