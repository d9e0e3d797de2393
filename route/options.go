package route

import (
	"time"
)

// options lists the ways to run the request in this region: on one engine, or prefill on one and decode on another.
// With lastResort it includes the engines of req.Deprioritized.
func (t *EngineTable) options(now time.Time, req *Request, lastResort bool) []option {
	single, prefill, decode, fallback := t.scratch.single[:0], t.scratch.prefill[:0], t.scratch.decode[:0], t.scratch.fallback[:0]
	for _, u := range t.engines {
		if !u.local || !t.usable(now, u, req, lastResort) {
			continue
		}
		c := t.candidate(now, u, req)
		switch {
		case u.load == nil || u.load.Role == roleMixed:
			single, prefill, decode = append(single, c), append(prefill, c), append(decode, c)
		case u.load.Role == rolePrefill:
			prefill, fallback = append(prefill, c), append(fallback, c)
		default:
			single, decode = append(single, c), append(decode, c)
		}
	}
	t.scratch.single, t.scratch.prefill, t.scratch.decode, t.scratch.fallback = single, prefill, decode, fallback
	if len(single) == 0 {
		single = fallback
	}
	options := t.scratch.options[:0]
	for i := range single {
		options = append(options, t.singleOption(req, &single[i], localLatency))
	}
	keepBest(&prefill, func(c *candidate) float64 { return c.prefillTime + c.decodePenalty })
	keepBest(&decode, func(c *candidate) float64 { return c.slotWait + c.batchPenalty })
	for i := range prefill {
		for j := range decode {
			if prefill[i].upstream != decode[j].upstream {
				options = append(options, t.pairOption(req, &prefill[i], &decode[j]))
			}
		}
	}
	t.scratch.options = options
	return options
}

// keepBest keeps the maxPairCandidates cheapest candidates.
func keepBest(candidates *[]candidate, cost func(*candidate) float64) {
	list := *candidates
	if len(list) <= maxPairCandidates {
		return
	}
	for i := range maxPairCandidates {
		best, least := i, cost(&list[i])
		for j := i + 1; j < len(list); j++ {
			if c := cost(&list[j]); c < least {
				best, least = j, c
			}
		}
		list[i], list[best] = list[best], list[i]
	}
	*candidates = list[:maxPairCandidates]
}

func (t *EngineTable) singleOption(req *Request, c *candidate, latency time.Duration) option {
	return t.newOption(req, c, c, 2*latency.Seconds()+c.prefillTime+c.slotWait+c.step)
}

func (t *EngineTable) pairOption(req *Request, p, d *candidate) option {
	size := float64(t.kvBytesPerToken(req.Model)) * float64(req.PromptTokens)
	transfer := size/localKVBytesPerSecond + localLatency.Seconds()
	o := t.newOption(req, p, d, 2*localLatency.Seconds()+p.prefillTime+transfer+d.slotWait+d.step)
	o.prefill = p.upstream
	return o
}

// newOption returns the option to process the prompt at p and to decode at d, which can be the same engine. first is
// the estimated time to the first token in seconds.
func (t *EngineTable) newOption(req *Request, p, d *candidate, first float64) option {
	return option{
		decode:           d.upstream,
		firstToken:       first,
		finish:           first + t.expectedOutput(req)*d.step,
		cost:             p.uncached/p.state.prefillRate + t.expectedOutput(req)*d.step/d.state.maxRunning,
		score:            first + t.latePenalty(first) + p.decodePenalty + d.batchPenalty + p.laterPenalty,
		uncertainty:      p.state.uncertainty,
		uncached:         p.uncached,
		wait:             p.state.waitingTokens/p.state.prefillRate + d.slotWait,
		slowStep:         d.step > stepLimit*t.target.between && t.expectedOutput(req) > 1,
		halfFull:         d.state.running > d.state.maxRunning/2,
		ownShare:         max(p.state.ownShare, d.state.ownShare),
		batchAtHoldLimit: d.state.running > holdBatchLimit*d.state.maxRunning,
	}
}

func (t *EngineTable) kvBytesPerToken(model string) int64 {
	if b := t.models[model].KVBytesPerToken; b > 0 {
		return b
	}
	return defaultKVBytesPerToken
}
