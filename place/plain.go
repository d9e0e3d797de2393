package place

import (
	"math"
	"time"

	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

const (
	// defaultSlots is used for replicas that do not say how many requests they process at once.
	defaultSlots = 8
	// triedPenalty puts replicas that a request has tried behind all others, in milliseconds.
	triedPenalty = 1e6
	// tieNoise spreads choices between replicas that are equally good, in milliseconds.
	tieNoise = 1.0
)

// choosePlain chooses the replica of a plain service with the shortest wait.
func (b *Balancer) choosePlain(now time.Time, service *traffic.Service, replicas []*upstream.Replica, req *Request) (Placement, error) {
	work := b.pace(service.Name).work.Seconds() * 1000
	var best *upstream.Replica
	bestScore, bestFirst, bestWait := math.Inf(1), 0.0, 0.0
	for _, r := range replicas {
		start := r.Incarnation()
		if req.Refused[start] {
			continue
		}
		l := b.load(start)
		slots := float64(firstOf(l.slots, r.Slots, defaultSlots))
		busy := l.requests(now)
		wait := work * math.Max(0, busy+1-slots) / slots
		// Work is shared out evenly below the limit too, because a new request can meet one of another instance.
		first := b.trip(r) + work + wait
		score := first + work*busy/slots/2 + refusalLoss*l.refusals.share(now) + tieNoise*b.random.Float64()
		if req.Tried[start] {
			score += triedPenalty
		}
		if score < bestScore {
			best, bestScore, bestFirst, bestWait = r, score, first, wait
		}
	}
	if best == nil {
		return Placement{}, ErrNoReplica
	}
	return b.placement(now, &Placement{Replica: best, Wait: milliseconds(bestWait)}, bestFirst, req)
}

// queueShare is the least part of the target latency that a request may spend behind others.
const queueShare = 0.3

// placement completes a choice, or refuses it. A request that would wait so long that it misses its target would make all
// behind it miss theirs, so a queue stays as short as the targets allow and the rest is told to come back.
func (b *Balancer) placement(now time.Time, p *Placement, firstMs float64, req *Request) (Placement, error) {
	p.TimeToFirstByte = milliseconds(firstMs)
	lead := p.Replica
	if p.Prefill != nil {
		lead = p.Prefill
	}
	p.ReportAge = b.load(lead.Incarnation()).age(now)
	if req.Resumed {
		return *p, nil
	}
	left := req.Deadline.Sub(now)
	over := p.TimeToFirstByte - left
	if req.Target > 0 {
		limit := max(req.Target-(p.TimeToFirstByte-p.Wait), time.Duration(queueShare*float64(req.Target)))
		over = max(over, p.Wait-limit)
	}
	if over > 0 {
		return Placement{}, &BusyError{TimeToFirstByte: p.TimeToFirstByte, Wait: p.Wait, Remaining: left, Excess: over}
	}
	return *p, nil
}

func firstOf(values ...int) int {
	for _, v := range values {
		if v > 0 {
			return v
		}
	}
	return 1
}
