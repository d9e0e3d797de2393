package place

import (
	"time"

	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// Explanation is the choice that Choose would make, with what it compared.
type Explanation struct {
	// Placement is the choice, Err the error of Choose instead of one.
	Placement Placement
	Err       error
	// Replicas has a row for each given replica, in the same order.
	Replicas []ReplicaEstimate
}

// Exclusion is the reason why a replica was not among those that a choice compared.
type Exclusion string

// Reasons for exclusion.
const (
	ExcludedRefused   Exclusion = "refused the request"
	ExcludedPaused    Exclusion = "paused"
	ExcludedLimit     Exclusion = "at its limit"
	ExcludedBodyBytes Exclusion = "too many body bytes in flight"
	// ExcludedStage is that of a replica of the group (prefill or decode) which the choice did not compare.
	ExcludedStage Exclusion = "other stage"
)

// Explain returns the choice that Choose would make now, and why. It runs the same code on a copy of the state, with a
// copy of the source of random numbers, so the next call of Choose with the same arguments makes the explained choice.
// It changes nothing.
func (b *Balancer) Explain(now time.Time, service *traffic.Service, replicas []*upstream.Replica, req *Request) Explanation {
	c := b.Copy(req.Prompt.Segments)
	c.trace = &choiceTrace{estimates: make(map[upstream.Incarnation]comparison)}
	var e Explanation
	e.Placement, e.Err = c.choose(now, service, replicas, req)
	for _, r := range replicas {
		row := c.Describe(now, r)
		if compared, found := c.trace.estimates[r.Incarnation()]; found {
			row.Estimate = &ChoiceEstimate{
				ScoreMs: thousandths(compared.score), WaitMs: thousandths(compared.waitMs), FirstByteMs: thousandths(compared.firstMs),
			}
		} else {
			row.Excluded = c.exclusion(now, r, req)
		}
		e.Replicas = append(e.Replicas, row)
	}
	return e
}

// exclusion returns the reason why a choice did not compare a replica.
func (b *Balancer) exclusion(now time.Time, r *upstream.Replica, req *Request) Exclusion {
	state := b.state(r.Incarnation())
	switch {
	case req.Refused[r.Incarnation()]:
		return ExcludedRefused
	case now.Before(state.pausedUntil):
		return ExcludedPaused
	case state.waitToSend(now) > 0:
		return ExcludedLimit
	case b.collected(r, state):
		return ExcludedBodyBytes
	}
	return ExcludedStage
}
