package place

import (
	"time"

	"rhubarbpoint/upstream"
)

// LimitChange describes a replica's limit that has begun, changed or ended.
type LimitChange struct {
	// PerSecond is the rate that the replica takes from all instances together; Ended is set if it names none any more.
	PerSecond float64
	Ended     bool
	// Share is the part of this instance, in requests a second, Instances the number of instances that it was divided over.
	Share     float64
	Instances int
}

// RecordLimit records that a response to a request, which was sent at a given time, names a limit in requests a second,
// or none if it is nil. It returns nil if nothing has changed.
func (b *Balancer) RecordLimit(now, sent time.Time, replica *upstream.Replica, limit *float64) *LimitChange {
	if limit == nil {
		return b.endLimit(sent, replica)
	}
	if !b.limitNeedsShare(now, replica, *limit) {
		return nil
	}
	instances := b.opts.Instances()
	share := divideLimit(*limit, instances, b.opts.Self, replica)
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(replica.Incarnation())
	if state.limit == nil {
		state.limit = &replicaLimit{at: now}
	}
	changed := state.limit.perSecond != *limit || state.limit.share.rate != share.rate
	state.limit.perSecond, state.limit.namedAt = *limit, now
	state.limit.setShare(now, share)
	if !changed {
		return nil
	}
	return &LimitChange{PerSecond: *limit, Share: share.rate, Instances: len(instances)}
}

// endLimit ends the limit of a replica. A response to a request that was sent before the limit was last named may have
// been overtaken, so it ends nothing.
func (b *Balancer) endLimit(sent time.Time, replica *upstream.Replica) *LimitChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(replica.Incarnation())
	if state.limit == nil || sent.Before(state.limit.namedAt) {
		return nil
	}
	state.limit = nil
	return &LimitChange{Ended: true}
}

// limitNeedsShare records that a replica has named a limit. It reports whether the share must be computed.
func (b *Balancer) limitNeedsShare(now time.Time, replica *upstream.Replica, limit float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.state(replica.Incarnation()).limit
	if l == nil || l.perSecond != limit || now.Sub(l.divided) >= shareRefresh {
		return true
	}
	l.namedAt = now
	return false
}

// withinLimits returns the replicas to which this instance may send a request now, and the time until it may send one to
// any of the others if there are none. The rest of a response that has begun may go to any replica that is not paused.
func (b *Balancer) withinLimits(now time.Time, replicas []*upstream.Replica, req *Request) (within []*upstream.Replica, wait time.Duration) {
	limited := 0
	for _, r := range replicas {
		if w := b.waitToSend(now, r); w > 0 {
			if limited == 0 || w < wait {
				wait = w
			}
			limited++
		}
	}
	if limited == 0 {
		return replicas, 0
	}
	allowed := func(r *upstream.Replica) bool { return b.waitToSend(now, r) == 0 }
	if limited == len(replicas) && req.Resumed {
		allowed = func(r *upstream.Replica) bool { return !now.Before(b.state(r.Incarnation()).pausedUntil) }
	}
	for _, r := range replicas {
		if allowed(r) {
			within = append(within, r)
		}
	}
	return within, wait
}

// waitToSend returns how long the replica gets no request: its limit or pause allows none, or it has collected too many
// bytes.
func (b *Balancer) waitToSend(now time.Time, r *upstream.Replica) time.Duration {
	state := b.state(r.Incarnation())
	wait := state.waitToSend(now)
	if b.collected(r, state) {
		wait = max(wait, collectedWait)
	}
	return wait
}

// limitedError is the error if all replicas that could serve a request are at their limits or paused.
func (b *Balancer) limitedError(now time.Time, replicas []*upstream.Replica, wait time.Duration, req *Request) error {
	pause := wait
	for _, r := range replicas {
		pause = min(pause, max(0, b.state(r.Incarnation()).pausedUntil.Sub(now)))
	}
	return &BusyError{TimeToFirstByte: wait, Wait: wait, Remaining: req.Deadline.Sub(now), AtLimit: true, Excess: wait, Pause: pause}
}
