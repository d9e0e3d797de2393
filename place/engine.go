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
	// longPrompt is the number of unprocessed tokens from which a prompt is kept apart from running answers: every step of
	// a batch waits for the piece of a prompt that is processed with it.
	longPrompt = 512
	// readWeight is the price of a millisecond of a replica's time for a prompt, in milliseconds of the request's own wait.
	// Processing shared parts again takes that time from all others.
	readWeight = 3.0
	// lateWeight is the price of a millisecond beyond the comfortable part of the target latency.
	lateWeight = 5.0
	// comfort is the part of the target latency up to which waiting hardly matters to the caller.
	comfort = 0.6
	// waitWeight is the price of a millisecond below that.
	waitWeight = 0.3
	// crowdMs is the harm of a full batch to one more request, in milliseconds.
	crowdMs = 20.0
	// rankMs is the advantage of a replica that is next in line after a prompt's home, so that requests which avoid a busy
	// home meet again.
	rankMs = 5.0
)

// option is one replica that can process the prompt, and what that would cost.
type option struct {
	replica  *upstream.Replica
	score    float64 // milliseconds, with preferences
	first    float64 // milliseconds to the first token
	wait     float64 // milliseconds of first that are spent behind other requests
	uncached int
}

// chooseEngine chooses the replica for a generation. Long prompts go to replicas that process prompts, short ones to
// replicas that answer, so that a burst of prompts does not slow down the answers that run.
func (b *Balancer) chooseEngine(now time.Time, service *traffic.Service, replicas []*upstream.Replica, req *Request) (Placement, error) {
	usable := make([]*upstream.Replica, 0, len(replicas))
	for _, r := range replicas {
		if !req.Refused[r.Incarnation()] {
			usable = append(usable, r)
		}
	}
	readers, answerers := divide(usable, service.Engine.Slots)
	if len(usable) == 0 || len(answerers) == 0 {
		return Placement{}, ErrNoReplica
	}
	if req.CacheSource != nil {
		p := Placement{Replica: b.answerer(now, service, answerers, req, req.CacheSource)}
		return b.placement(now, &p, 0, req)
	}
	shared := sharedTokens(&req.Prompt)
	if req.Prompt.Tokens-shared < longPrompt && req.Prompt.Tokens < 2*longPrompt || req.Resumed {
		return b.chooseAnswerer(now, service, answerers, req)
	}
	best := option{score: math.Inf(1)}
	home, second := homes(readers, req.Prompt.Segments)
	for _, r := range readers {
		o := b.option(now, service, r, req, shared, r == home)
		if r == second {
			o.score -= rankMs
		}
		if o.score < best.score {
			best = o
		}
	}
	p := Placement{Replica: best.replica, UncachedTokens: best.uncached, Wait: milliseconds(best.wait)}
	if best.replica.Stage == upstream.Prefill {
		p.Prefill, p.Replica = best.replica, b.answerer(now, service, answerers, req, best.replica)
	}
	return b.placement(now, &p, best.first, req)
}

// option estimates what a long prompt costs at a replica.
func (b *Balancer) option(now time.Time, service *traffic.Service, r *upstream.Replica, req *Request, shared int, isHome bool) option {
	l, p := b.load(r.Incarnation()), b.pace(service.Name)
	relative := relativePace(r)
	cached := b.cache(l, service).CachedTokens(req.Prompt.Segments)
	if isHome {
		// Requests of other instances have left the shared parts there.
		cached = max(cached, shared)
	}
	uncached := max(1, req.Prompt.Tokens-cached)
	read := p.ms(float64(uncached), relative)
	wait := p.ms(l.queue.tokens(now, p.usualWait(now)*p.tokensPerMs*relative), relative) + float64(r.Cold.Milliseconds())
	first, score := b.trip(r)+wait+read, 0.0
	if r.Stage == upstream.Prefill {
		first += handoffMs + b.trip(r)
		score += handoffLoss * l.handoffs.share(now)
	}
	calm := comfort * req.Target.Seconds() * 1000
	score += readWeight*read + waitWeight*first + lateWeight*math.Max(0, first-calm) + refusalLoss*l.refusals.share(now) +
		tieNoise*b.random.Float64()
	if req.Tried[r.Incarnation()] {
		score += triedPenalty
	}
	return option{replica: r, score: score, first: first, wait: wait, uncached: uncached}
}

// chooseAnswerer places a short prompt.
func (b *Balancer) chooseAnswerer(now time.Time, service *traffic.Service, answerers []*upstream.Replica, req *Request) (Placement, error) {
	best := b.answerer(now, service, answerers, req, nil)
	l := b.load(best.Incarnation())
	wait := crowdMs * l.requests(now) / float64(max(1, service.Engine.Slots))
	p := Placement{Replica: best, UncachedTokens: req.Prompt.Tokens, Wait: milliseconds(wait)}
	return b.placement(now, &p, b.trip(best)+wait+b.pace(service.Name).ms(float64(req.Prompt.Tokens), decodePace), req)
}

// answerer returns the replica with the emptiest batch, near the source of the KV cache if there is one.
func (b *Balancer) answerer(now time.Time, service *traffic.Service, answerers []*upstream.Replica, req *Request, source *upstream.Replica) *upstream.Replica {
	var best *upstream.Replica
	bestScore := math.Inf(1)
	for _, r := range answerers {
		start := r.Incarnation()
		l := b.load(start)
		score := waitWeight*b.trip(r) + crowdMs*l.requests(now)/float64(max(1, service.Engine.Slots)) + refusalLoss*l.refusals.share(now) +
			tieNoise*b.random.Float64()
		if source != nil {
			score += tripBetween(source.Region, source.Zone, r.Region, r.Zone)
		}
		if req.Tried[start] {
			score += triedPenalty
		}
		if score < bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// sparePlaces is the number of places for answers that each reader needs before replicas that answer process long prompts as
// well: about ten are taken by the prompts that it hands over, the others by running answers.
const sparePlaces = 16

// divide divides the replicas of a service into those that process long prompts and those that run answers. Replicas in
// stage Prefill are readers. Where the others have places to spare, every second one of them in each zone is a reader as
// well, by ID, so that all instances agree. Where none is left to read, all do both.
func divide(replicas []*upstream.Replica, slots int) (readers, answerers []*upstream.Replica) {
	var prefill, second, others []*upstream.Replica
	seen := make(map[string]int)
	for _, r := range replicas {
		if r.Stage == upstream.Prefill {
			prefill = append(prefill, r)
			continue
		}
		if seen[r.Zone]++; seen[r.Zone]%2 == 0 {
			second = append(second, r)
		} else {
			others = append(others, r)
		}
	}
	spare := float64(len(others)*slots) >= sparePlaces*(float64(len(prefill))+decodePace*float64(len(second)))
	if spare || len(prefill) == 0 {
		prefill = append(prefill, second...)
	} else {
		others = append(others, second...)
	}
	if len(prefill) == 0 {
		prefill = others
	}
	return prefill, others
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
