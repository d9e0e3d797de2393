package place

import (
	"math"
	"slices"
	"time"

	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

const (
	// defaultSlots is used for replicas that do not report how many requests they process at once.
	defaultSlots = 8
	// triedPenalty ranks replicas that the request has already tried behind all others, in milliseconds.
	triedPenalty = 1e6
	// tieNoise spreads choices between replicas with equal scores, in milliseconds.
	tieNoise = 1.0
)

// choosePlain chooses the replica of a plain service that is expected to respond first.
func (b *Balancer) choosePlain(now time.Time, service *traffic.Service, replicas []*upstream.Replica, req *Request) (Placement, error) {
	replicas = slices.DeleteFunc(slices.Clone(replicas), func(r *upstream.Replica) bool { return req.Refused[r.Incarnation()] })
	if len(replicas) == 0 {
		return Placement{}, ErrNoReplica
	}
	within, limitWait := b.withinLimits(now, replicas, req)
	if len(within) == 0 {
		return Placement{}, b.limitedError(now, replicas, limitWait, req)
	}
	stats := b.stats(service.Name)
	var best *upstream.Replica
	bestScore, bestFirst, bestWait := math.Inf(1), 0.0, 0.0
	for _, r := range within {
		incarnation := r.Incarnation()
		state := b.state(incarnation)
		slots := float64(firstPositive(state.slots, r.Slots, defaultSlots))
		work, inFlight, noise := b.plainLoad(now, stats, r, slots)
		wait := work * math.Max(0, inFlight+1-slots) / slots
		// Load is balanced while slots are free, too: a request of another instance can arrive at the same time.
		first := b.rtt(r) + work + wait
		score := first + work*inFlight/slots/2 + refusalPenalty*state.refusals.current(now) + noise*b.random.Float64()
		if req.Tried[incarnation] {
			score += triedPenalty
		}
		if score >= bestScore && b.trace == nil {
			continue
		}
		// A request is refused only because of requests that are known of, not of those expected by the mean.
		knownWait := work * math.Max(0, state.requests(now)+1-slots) / slots
		knownFirst := b.rtt(r) + work + knownWait
		b.trace.compared(r, score, knownWait, knownFirst)
		if score < bestScore {
			best, bestScore, bestFirst, bestWait = r, score, knownFirst, knownWait
		}
	}
	return b.finish(now, &Placement{Replica: best, Wait: milliseconds(bestWait)}, bestFirst, req)
}

// minQueueShare is the part of the target latency that a request may always spend in the queue.
const minQueueShare = 0.3

// finish completes a placement, or returns a *BusyError. A request that waits so long that it misses its target would
// also make those behind it miss theirs, so queues stay as short as the targets allow and the remaining requests are
// refused, to be sent again later.
func (b *Balancer) finish(now time.Time, p *Placement, firstMs float64, req *Request) (Placement, error) {
	p.TimeToFirstByte = milliseconds(firstMs)
	firstReplica := p.Replica
	if p.Prefill != nil {
		firstReplica = p.Prefill
	}
	p.ReportAge = b.state(firstReplica.Incarnation()).reportAge(now)
	if req.Resumed {
		return *p, nil
	}
	remaining := req.Deadline.Sub(now)
	excess := p.TimeToFirstByte - remaining
	if req.Target > 0 && !req.TakenUp {
		limit := max(req.Target-(p.TimeToFirstByte-p.Wait), time.Duration(minQueueShare*float64(req.Target)))
		excess = max(excess, p.Wait-limit)
	}
	if excess > 0 {
		return Placement{}, &BusyError{TimeToFirstByte: p.TimeToFirstByte, Wait: p.Wait, Remaining: remaining, Excess: excess}
	}
	return *p, nil
}

// firstPositive returns the first value above zero, or 1.
func firstPositive(values ...int) int {
	for _, v := range values {
		if v > 0 {
			return v
		}
	}
	return 1
}
