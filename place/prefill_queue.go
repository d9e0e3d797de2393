package place

import (
	"math"
	"time"
)

const (
	// waitDecay is the time constant with which the weight of an observed wait decays.
	waitDecay = 400 * time.Millisecond
	// minWaitGain is the least weight of one observation in the mean wait over the replicas of a service.
	minWaitGain = 0.1
	// queueRatioGain is the weight of one observation in the means that queueRatio is computed from.
	queueRatioGain = 0.05
	// maxQueueRatio bounds queueRatio: a few hundred instances that send equal amounts.
	maxQueueRatio = 400
)

// prefillQueue estimates the prompt tokens that are queued at a replica from the requests of this instance alone: their
// queueing delay shows how much other instances send to the same replica. Replicas do not report the length of their
// queue in tokens, and prefill replicas report no load at all.
type prefillQueue struct {
	// ownTokens is the number of tokens that this instance has sent and that have not been processed yet.
	ownTokens int
	// meanAhead is the mean number of tokens that were queued ahead of a request, meanOwnAhead the mean of those that
	// this instance had sent.
	meanAhead, meanOwnAhead float64
	// lastAhead is the number of tokens that were queued ahead of the latest observed request, observedAt the time of
	// the observation.
	lastAhead  float64
	observedAt time.Time
}

// observe records the number of tokens that were queued ahead of a request, and how many of them this instance had
// sent.
func (q *prefillQueue) observe(now time.Time, ahead float64, ownAhead int) {
	ahead = math.Max(0, ahead)
	q.meanAhead += (ahead - q.meanAhead) * queueRatioGain
	q.meanOwnAhead += (float64(ownAhead) - q.meanOwnAhead) * queueRatioGain
	q.lastAhead, q.observedAt = ahead, now
}

// queueRatio returns the ratio of the whole queue to this instance's part of it.
func (q *prefillQueue) queueRatio() float64 {
	if q.meanOwnAhead <= 0 {
		return 1
	}
	return math.Min(maxQueueRatio, math.Max(1, q.meanAhead/q.meanOwnAhead))
}

// tokens returns the estimated length of the queue. serviceMean is the recent mean over the replicas of the service. It
// replaces old observations of this replica, since each of many instances rarely sends a request to a given replica.
func (q *prefillQueue) tokens(now time.Time, serviceMean float64) float64 {
	weight := 0.0
	if !q.observedAt.IsZero() {
		weight = math.Exp(-now.Sub(q.observedAt).Seconds() / waitDecay.Seconds())
	}
	return math.Max(float64(q.ownTokens)*q.queueRatio(), weight*q.lastAhead+(1-weight)*serviceMean)
}
