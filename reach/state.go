package reach

import (
	"maps"
	"time"
)

const (
	// doubtfulReplicas is the number of distinct replicas that fail in a row before the phase is Doubtful, isolatedReplicas
	// before it can be Isolated. All replicas suffice if there are fewer.
	doubtfulReplicas = 2
	isolatedReplicas = 4
	// isolatedAfter is how long connections fail before the phase is Isolated. A replica that is silent for a second ends
	// no phase: connections to the others succeed.
	isolatedAfter = time.Second
	// failuresExpire is how long failures count after the last of them.
	failuresExpire = 3 * time.Second
	// returnReplicas is the number of distinct replicas that accept connections before an isolated instance returns to
	// Reaching, and successesExpire how long each of these successes counts.
	returnReplicas  = 2
	successesExpire = 2 * time.Second
	// silenceLimit is how long requests may wait without any response before connections are probed.
	silenceLimit = 600 * time.Millisecond
	// probeAfter is how long after a first failure without a success connections are probed.
	probeAfter = 250 * time.Millisecond
	// doubtProbes and isolatedProbes are the numbers of connections that are tried in each probe interval.
	doubtProbes    = 2
	isolatedProbes = 1
)

// State decides from the outcomes of connections whether an instance reaches replicas. It depends only on what was
// recorded and on the given times. Only new connections count: old ones can live on while new ones are refused. A State is
// not safe for concurrent use.
type State struct {
	lastConnect, lastHeard, lastFailure time.Time
	// failed are the addresses that failed since the last success, firstFailure is the time of the first of them.
	failed       map[string]bool
	firstFailure time.Time
	// waitingSince is when the first request was sent since anything was heard from a replica, zero if none was.
	waitingSince time.Time
	// isolatedSince is zero unless the phase is Isolated; reached are then the addresses that accepted connections.
	isolatedSince time.Time
	reached       map[string]time.Time
}

// RecordConnect records a new connection to an address. listed is the number of all replicas.
func (s *State) RecordConnect(now time.Time, address string, listed int) {
	s.lastConnect, s.waitingSince = now, time.Time{}
	if s.isolatedSince.IsZero() {
		s.failed, s.firstFailure = nil, time.Time{}
		return
	}
	if s.reached == nil {
		s.reached = make(map[string]time.Time)
	}
	s.reached[address] = now
	maps.DeleteFunc(s.reached, func(_ string, at time.Time) bool { return now.Sub(at) > successesExpire })
	if len(s.reached) >= min(returnReplicas, listed) {
		*s = State{lastConnect: now, lastHeard: s.lastHeard, lastFailure: s.lastFailure}
	}
}

// RecordFailure records that a connection to an address could not be opened.
func (s *State) RecordFailure(now time.Time, address string) {
	s.expire(now)
	if s.failed == nil {
		s.failed, s.firstFailure = make(map[string]bool), now
	}
	s.lastFailure = now
	s.failed[address] = true
	delete(s.reached, address)
}

// RecordSend records that a request was sent to a replica.
func (s *State) RecordSend(now time.Time) {
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
}

// RecordHeard records that a part of a response arrived.
func (s *State) RecordHeard(now time.Time) { s.lastHeard, s.waitingSince = now, time.Time{} }

// Advance returns the phase at a time and records whether it is Isolated. listed is the number of all replicas.
func (s *State) Advance(now time.Time, listed int) Phase {
	if !s.isolatedSince.IsZero() {
		return Isolated
	}
	s.expire(now)
	switch n := len(s.failed); {
	case n == 0 || listed == 0 || n < min(doubtfulReplicas, listed):
		return Reaching
	case n >= min(isolatedReplicas, listed) && now.Sub(s.firstFailure) >= isolatedAfter:
		s.isolatedSince, s.reached = now, nil
		return Isolated
	}
	return Doubtful
}

// Probes returns the number of connections that should be tried now.
func (s *State) Probes(now time.Time) int {
	switch {
	case !s.isolatedSince.IsZero():
		return isolatedProbes
	case len(s.failed) > 0 && now.Sub(s.firstFailure) >= probeAfter,
		!s.waitingSince.IsZero() && now.Sub(s.waitingSince) >= silenceLimit:
		return doubtProbes
	}
	return 0
}

// expire drops failures that are too old to count.
func (s *State) expire(now time.Time) {
	if s.isolatedSince.IsZero() && len(s.failed) > 0 && now.Sub(s.lastFailure) > failuresExpire {
		s.failed, s.firstFailure = nil, time.Time{}
	}
}
