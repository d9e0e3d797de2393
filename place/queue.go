package place

import (
	"math"
	"time"
)

const (
	// delayDecay is the time in which an observed wait loses most of its weight.
	delayDecay = 400 * time.Millisecond
	// usualGain is the least weight of one observation in the mean over the replicas of a service.
	usualGain = 0.1
	// crowdGain is the weight of one observation in the estimate of how much others send.
	crowdGain = 0.05
	// maxCrowd bounds that estimate, at a few hundred instances with equal shares.
	maxCrowd = 400
)

// queue estimates the prompt tokens that wait at a replica, from the requests of this instance alone: how long they had to
// wait tells how much the other instances send beside them. Replicas do not state the length of their queue in tokens, and
// those that only process prompts state no load at all.
type queue struct {
	// own is the number of tokens that this instance has sent and that have not been processed yet.
	own int
	// waited and sent are means of the tokens that were processed before a request, and of those of this instance among
	// them.
	waited, sent float64
	// last is the tokens that the latest request found before it, at the time when that was learned.
	last float64
	at   time.Time
}

// observe takes that a request found tokens before it, of which mine were sent by this instance.
func (q *queue) observe(now time.Time, tokens float64, mine int) {
	tokens = math.Max(0, tokens)
	q.waited += (tokens - q.waited) * crowdGain
	q.sent += (float64(mine) - q.sent) * crowdGain
	q.last, q.at = tokens, now
}

// crowd returns by how much the whole queue exceeds this instance's part of it.
func (q *queue) crowd() float64 {
	if q.sent <= 0 {
		return 1
	}
	return math.Min(maxCrowd, math.Max(1, q.waited/q.sent))
}

// tokens returns the estimated length of the queue. usual is what requests met lately at replicas of the same kind: it
// counts for a replica of which nothing was seen lately, as one instance of many sees each replica seldom.
func (q *queue) tokens(now time.Time, usual float64) float64 {
	weight := 0.0
	if !q.at.IsZero() {
		weight = math.Exp(-now.Sub(q.at).Seconds() / delayDecay.Seconds())
	}
	return math.Max(float64(q.own)*q.crowd(), weight*q.last+(1-weight)*usual)
}
