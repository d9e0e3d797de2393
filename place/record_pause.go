package place

import (
	"time"

	"rhubarbpoint/upstream"
)

const (
	// pauseSpreadShare is the largest part of a pause that is added to it at random, so that the instances do not all
	// return to a replica at the same moment. maxPauseSpread bounds it.
	pauseSpreadShare = 0.1
	maxPauseSpread   = time.Second
)

// RecordPause records that a replica wants no request from this instance for a time, and returns the end of its pause. A
// shorter pause does not end a longer one.
func (b *Balancer) RecordPause(now time.Time, replica *upstream.Replica, pause time.Duration) (until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(replica.Incarnation())
	spread := min(maxPauseSpread, time.Duration(pauseSpreadShare*float64(pause)))
	if until = now.Add(pause + time.Duration(b.random.Float64()*float64(spread))); until.After(state.pausedUntil) {
		state.pausedUntil = until
	}
	return state.pausedUntil
}

// Paused reports whether a replica has asked for a pause that has not ended.
func (b *Balancer) Paused(now time.Time, replica *upstream.Replica) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.state(replica.Incarnation()).pausedUntil)
}
