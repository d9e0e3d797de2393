package place

import (
	"math"
	"time"

	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

const (
	// handoffMs is the time of the two calls of a prompt that is processed on another replica, beside the network.
	handoffMs = 3.0
	// handoffTokens is the number of unprocessed tokens below which another replica is not worth its calls.
	handoffTokens = 512
	// crowdMs is the harm of one more running request to the others at a replica, in milliseconds at a full batch.
	crowdMs = 20.0
	// homeBonus is the share of the unprocessed prompt by which its home is preferred. All instances of a zone find the
	// same home, so that a part is processed at few replicas.
	homeBonus = 0.5
)

// option is one replica that can process the prompt, and what that would cost.
type option struct {
	replica  *upstream.Replica
	score    float64 // milliseconds, with preferences
	first    float64 // milliseconds to the first token
	uncached int
}

// chooseEngine chooses the replica that processes the prompt by its backlog in tokens and by what it has cached, and the
// one that generates by its batch.
func (b *Board) chooseEngine(now time.Time, service *traffic.Service, replicas []*upstream.Replica, req *Request) (Placement, error) {
	best := option{score: math.Inf(1)}
	home := b.home(replicas, req.Prompt.Parts)
	for _, r := range replicas {
		if req.Refused[r.Incarnation()] {
			continue
		}
		o := b.option(now, service, r, req, home)
		if r.Stage == upstream.Prefill && (o.uncached < handoffTokens || req.Continues) {
			continue
		}
		if o.score < best.score {
			best = o
		}
	}
	if best.replica == nil {
		return Placement{}, ErrNoReplica
	}
	p := Placement{Run: best.replica, Uncached: best.uncached}
	if best.replica.Stage == upstream.Prefill {
		run := b.decoder(now, service, best.replica, replicas, req)
		if run == nil {
			return Placement{}, ErrNoReplica
		}
		p.Prefill, p.Run = best.replica, run
	}
	return b.placement(now, &p, best.first, req)
}

// option estimates the time to the first token at a replica.
func (b *Board) option(now time.Time, service *traffic.Service, r *upstream.Replica, req *Request, home *upstream.Replica) option {
	l, p := b.load(r.Incarnation()), b.pace(service.Name)
	relative := 1.0
	if r.Stage != upstream.Prefill {
		relative = decodePace
	}
	cached := b.cache(l, service).cached(req.Prompt.Parts)
	uncached := max(1, req.Prompt.Tokens-cached)
	backlog := float64(l.tokens) + l.waiting*l.fade(now)*p.meanTokens
	first := b.trip(r) + p.ms(backlog+float64(uncached), relative) + float64(r.Cold.Milliseconds())
	if r.Stage == upstream.Prefill {
		first += handoffMs + b.trip(r)
	}
	score := first + crowdMs*l.requests(now)/float64(max(1, service.Engine.Slots)) + tieNoise*b.random.Float64()
	if r == home {
		score -= homeBonus * p.ms(float64(req.Prompt.Tokens), relative)
	}
	if req.Tried[r.Incarnation()] {
		score += triedPenalty
	}
	return option{replica: r, score: score, first: first, uncached: uncached}
}

// decoder chooses the replica that generates the answer to a prompt that is processed elsewhere: near the source of the
// KV cache, with the emptiest batch.
func (b *Board) decoder(now time.Time, service *traffic.Service, source *upstream.Replica, replicas []*upstream.Replica, req *Request) *upstream.Replica {
	var best *upstream.Replica
	bestScore := math.Inf(1)
	for _, r := range replicas {
		start := r.Incarnation()
		if r.Stage == upstream.Prefill || req.Refused[start] {
			continue
		}
		l := b.load(start)
		score := 2*tripBetween(source.Region, source.Zone, r.Region, r.Zone) + b.trip(r) +
			crowdMs*l.requests(now)/float64(max(1, service.Engine.Slots)) + b.pace(service.Name).ms(float64(l.tokens), decodePace) +
			tieNoise*b.random.Float64()
		if req.Tried[start] {
			score += triedPenalty
		}
		if score < bestScore {
			best, bestScore = r, score
		}
	}
	return best
}
