package place

import (
	"math"
	"time"

	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

const (
	// handoffMs is the time of the two calls of a remote prefill, without the network.
	handoffMs = 3.0
	// longPromptTokens is the number of uncached tokens from which a prompt is kept away from replicas that decode:
	// every step of a batch waits for the chunk of a prompt that is processed with it.
	longPromptTokens = 512
	// prefillWeight is the cost of a millisecond of prefill, in milliseconds of the request's own latency. Processing a
	// shared prefix again takes that time from all other requests.
	prefillWeight = 3.0
	// lateWeight is the additional cost of a millisecond beyond the soft target.
	lateWeight = 5.0
	// softTargetFraction is the part of the target latency up to which waiting hardly matters to the caller.
	softTargetFraction = 0.6
	// latencyWeight is the cost of a millisecond up to the soft target.
	latencyWeight = 0.3
	// eventWeight is the cost of a millisecond of the time that an event of a stream takes.
	eventWeight = 0.1
	// fullBatchDelayMs is the delay that a full batch causes to one more request.
	fullBatchDelayMs = 20.0
	// secondPreferredBonusMs is the advantage of the second preferred replica of a prompt, so that requests which avoid
	// a busy preferred replica go to the same one.
	secondPreferredBonusMs = 5.0
)

// candidate is a replica that can process the prompt, with its estimated cost.
type candidate struct {
	replica      *upstream.Replica
	score        float64 // milliseconds, weighted and with penalties
	firstTokenMs float64
	waitMs       float64 // part of firstTokenMs that is queueing delay
	uncached     int     // tokens
}

// chooseEngine chooses the replica for a generation. Long prompts go to prefill replicas and short ones to decode
// replicas, so that a burst of long prompts does not slow down requests that are being decoded.
func (b *Balancer) chooseEngine(now time.Time, service *traffic.Service, replicas []*upstream.Replica, req *Request) (Placement, error) {
	usable := make([]*upstream.Replica, 0, len(replicas))
	for _, r := range replicas {
		if !req.Refused[r.Incarnation()] {
			usable = append(usable, r)
		}
	}
	prefill, decode := splitReplicas(usable, service.Engine.Slots)
	if len(usable) == 0 || len(decode) == 0 {
		return Placement{}, ErrNoReplica
	}
	allDecode := decode
	decode, limitWait := b.withinLimits(now, allDecode, req)
	if len(decode) == 0 {
		return Placement{}, b.limitedError(now, allDecode, limitWait, req)
	}
	if req.CacheSource != nil {
		p := Placement{Replica: b.bestDecode(now, service, decode, req, req.CacheSource)}
		return b.finish(now, &p, 0, req)
	}
	shared := sharedTokens(&req.Prompt)
	if req.Prompt.Tokens-shared < longPromptTokens && req.Prompt.Tokens < 2*longPromptTokens || req.Resumed {
		return b.chooseDecode(now, service, decode, req)
	}
	best := candidate{score: math.Inf(1)}
	preferred, second := b.preferredReplicas(prefill, req.Prompt.Segments)
	within, limitWait := b.withinLimits(now, prefill, req)
	if len(within) == 0 {
		return Placement{}, b.limitedError(now, prefill, limitWait, req)
	}
	for _, r := range within {
		c := b.prefillCandidate(now, service, r, req, shared, r == preferred)
		if r == second {
			c.score -= secondPreferredBonusMs
		}
		b.trace.compared(r, c.score, c.waitMs, c.firstTokenMs)
		if c.score < best.score {
			best = c
		}
	}
	p := Placement{Replica: best.replica, UncachedTokens: best.uncached, Wait: milliseconds(best.waitMs)}
	if best.replica.Stage == upstream.Prefill {
		p.Prefill, p.Replica = best.replica, b.bestDecode(now, service, decode, req, best.replica)
	}
	return b.finish(now, &p, best.firstTokenMs, req)
}

// prefillCandidate estimates the cost of processing a long prompt at a replica.
func (b *Balancer) prefillCandidate(now time.Time, service *traffic.Service, r *upstream.Replica, req *Request, shared int, preferred bool) candidate {
	state, stats := b.state(r.Incarnation()), b.stats(service.Name)
	relative := b.prefillSpeed(now, r)
	cached := b.cache(state, service).CachedTokens(req.Prompt.Segments)
	if preferred {
		// Requests of other instances have left the shared segments in its cache.
		cached = max(cached, shared)
	}
	uncached := max(1, req.Prompt.Tokens-cached)
	prefill := stats.prefillMs(float64(uncached), relative)
	wait := stats.prefillMs(state.queue.tokens(now, stats.expectedWaitMs(now)*stats.tokensPerMs*relative), relative) + float64(r.Cold.Milliseconds())
	first, score := b.rtt(r)+wait+prefill, 0.0
	if r.Stage == upstream.Prefill {
		first += handoffMs + b.rtt(r)
		score += handoffFailurePenalty * state.handoffFailures.current(now)
	}
	softTarget := softTargetFraction * req.Target.Seconds() * 1000
	score += prefillWeight*prefill + latencyWeight*first + lateWeight*math.Max(0, first-softTarget) + refusalPenalty*state.refusals.current(now) +
		tieNoise*b.random.Float64()
	if req.Tried[r.Incarnation()] {
		score += triedPenalty
	}
	return candidate{replica: r, score: score, firstTokenMs: first, waitMs: wait, uncached: uncached}
}

// chooseDecode places a request on a decode replica that also processes its prompt: one with a short prompt, or one
// that resumes.
func (b *Balancer) chooseDecode(now time.Time, service *traffic.Service, decode []*upstream.Replica, req *Request) (Placement, error) {
	best := b.bestDecode(now, service, decode, req, nil)
	wait, first := b.decodeTimes(now, service, best, req)
	p := Placement{Replica: best, UncachedTokens: req.Prompt.Tokens, Wait: milliseconds(wait)}
	return b.finish(now, &p, first, req)
}

// decodeTimes returns the expected wait and time to the first byte of a request whose prompt a decode replica processes,
// in milliseconds.
func (b *Balancer) decodeTimes(now time.Time, service *traffic.Service, r *upstream.Replica, req *Request) (waitMs, firstMs float64) {
	waitMs = fullBatchDelayMs * b.state(r.Incarnation()).requests(now) / float64(max(1, service.Engine.Slots)) * b.slowness(now, r)
	return waitMs, b.rtt(r) + waitMs + b.stats(service.Name).prefillMs(float64(req.Prompt.Tokens), b.shortPromptSpeed(now, r))
}

// bestDecode returns the decode replica with the lowest cost: a batch with few requests, a short round trip, few
// refusals and, if the KV cache is fetched from a source, a short round trip to it.
func (b *Balancer) bestDecode(now time.Time, service *traffic.Service, decode []*upstream.Replica, req *Request, source *upstream.Replica) *upstream.Replica {
	var best *upstream.Replica
	bestScore := math.Inf(1)
	for _, r := range decode {
		incarnation := r.Incarnation()
		state := b.state(incarnation)
		requests, eventMs, noise := b.decodeLoad(now, service, r)
		score := latencyWeight*b.rtt(r) + fullBatchDelayMs*requests/float64(max(1, service.Engine.Slots)) + refusalPenalty*state.refusals.current(now) +
			noise*b.random.Float64()
		score += eventWeight * eventMs
		if source != nil {
			score += rttBetween(source.Region, source.Zone, r.Region, r.Zone)
		}
		if req.Tried[incarnation] {
			score += triedPenalty
		}
		if b.trace != nil {
			wait, first := b.decodeTimes(now, service, r, req)
			b.trace.compared(r, score, wait, first)
		}
		if score < bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// spareSlotsPerPrefill is the number of batch slots of decode replicas that each prefill replica needs before decode
// replicas process long prompts as well: about ten are taken by the prompts that it hands off, the rest by requests
// that are being decoded.
const spareSlotsPerPrefill = 16

// splitReplicas divides the replicas of a service into those that process long prompts and those that decode. Replicas
// in stage Prefill are in the first group. If the remaining ones have slots to spare, or if no replica is in stage
// Prefill, every second of them in each zone, in order of their IDs, joins the first group, so that all instances
// agree. If the first group is still empty, all replicas are in both.
func splitReplicas(replicas []*upstream.Replica, slots int) (prefillReplicas, decodeReplicas []*upstream.Replica) {
	var prefill, second, decode []*upstream.Replica
	seen := make(map[string]int)
	for _, r := range replicas {
		if r.Stage == upstream.Prefill {
			prefill = append(prefill, r)
			continue
		}
		if seen[r.Zone]++; seen[r.Zone]%2 == 0 {
			second = append(second, r)
		} else {
			decode = append(decode, r)
		}
	}
	spare := float64(len(decode)*slots) >= spareSlotsPerPrefill*(float64(len(prefill))+decodeSpeed*float64(len(second)))
	if spare || len(prefill) == 0 {
		prefill = append(prefill, second...)
	} else {
		decode = append(decode, second...)
	}
	if len(prefill) == 0 {
		prefill = decode
	}
	return prefill, decode
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
