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
func (b *Board) choosePlain(now time.Time, service *traffic.Service, replicas []*upstream.Replica, req *Request) (Placement, error) {
	work := b.pace(service.Name).work.Seconds() * 1000
	var best *upstream.Replica
	bestScore, bestFirst := math.Inf(1), 0.0
	for _, r := range replicas {
		start := r.Incarnation()
		if req.Refused[start] {
			continue
		}
		l := b.load(start)
		slots := float64(firstOf(l.slots, r.Slots, defaultSlots))
		busy := l.requests(now)
		// Work is shared out evenly below the limit too, because a new request can meet one of another instance.
		first := b.trip(r) + work + work*math.Max(0, busy+1-slots)/slots
		score := first + work*busy/slots/2 + tieNoise*b.random.Float64()
		if req.Tried[start] {
			score += triedPenalty
		}
		if score < bestScore {
			best, bestScore, bestFirst = r, score, first
		}
	}
	if best == nil {
		return Placement{}, ErrNoReplica
	}
	return b.placement(now, &Placement{Run: best}, bestFirst, req)
}

// placement completes a choice, or refuses it when the answer cannot begin before the deadline.
func (b *Board) placement(now time.Time, p *Placement, firstMs float64, req *Request) (Placement, error) {
	p.First = time.Duration(firstMs * float64(time.Millisecond))
	lead := p.Run
	if p.Prefill != nil {
		lead = p.Prefill
	}
	p.ReportAge = b.load(lead.Incarnation()).age(now)
	if left := req.Deadline.Sub(now); p.First > left && !req.Continues {
		return Placement{}, &TooLateError{First: p.First, Left: left}
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
