package route

import (
	"time"
)

// candidate is an engine with its expected state and its costs for one request, in seconds.
type candidate struct {
	upstream      *upstream
	state         estimate
	uncached      float64 // prompt tokens to process
	prefillTime   float64 // time until the prompt is processed
	decodePenalty float64 // cost of processing the prompt for the requests that are being decoded
	slotWait      float64 // time until a batch slot is free
	step          float64 // expected 95th percentile of the time between tokens
	laterPenalty  float64 // cost of processing the prompt for later requests
	batchPenalty  float64 // cost of one more request in the batch
}

// batchTimes returns the step model of the engine's role, the mean stay in its batch and its step, in seconds.
func (t *EngineTable) batchTimes(u *upstream) (steps *stepModel, stay, step float64) {
	role, running := uint32(roleMixed), 0.0
	if u.load != nil {
		role, running = u.load.Role, float64(u.load.Running)
	}
	steps = t.stepModel(role)
	return steps, t.meanBatchStay(steps, running), steps.predict(running, 0)
}

// candidate estimates the costs of a request at one engine.
func (t *EngineTable) candidate(now time.Time, u *upstream, req *Request) candidate {
	steps, stay, step := t.batchTimes(u)
	c := candidate{upstream: u, state: u.estimate(now, t.models[req.Model].PrefillTokensPerSecond, stay, step)}
	c.uncached = float64(u.uncached(now, req))
	c.prefillTime = (c.state.waitingTokens + c.uncached) / c.state.prefillRate
	n := c.state.running
	output := t.expectedOutput(req)
	prefilling := 0.0
	if c.state.prefillShare > longGapShare || c.state.waitingTokens > 0 {
		prefilling = 1
	}
	c.step = steps.predict(n+1, prefilling)
	if over := n + 1 - c.state.maxRunning; over > 0 {
		c.slotWait = over / c.state.maxRunning * stay
	}
	c.batchPenalty = t.batchPenalty(steps, n, prefilling, output)
	c.laterPenalty = c.uncached / c.state.prefillRate * min(4, c.state.prefillShare/(1-min(c.state.prefillShare, 0.8)))
	c.decodePenalty = t.decodePenalty(steps, n, c.uncached/c.state.prefillRate, stay)
	return c
}

// meanBatchStay returns the mean time in the batch of the requests that are in it at a given moment, in seconds. Long
// outputs are found there more often in proportion to their length, so this is the mean weighted by length.
func (t *EngineTable) meanBatchStay(steps *stepModel, running float64) float64 {
	if !t.output.known || t.output.value <= 0 {
		return t.target.first
	}
	return max(t.target.between, t.outputSquares.value/t.output.value*steps.predict(running, 0))
}

// batchPenalty returns the cost of one more request in a batch of n, in seconds: a batch whose step exceeds the target
// makes all of its requests late. The cost of one late request is taken as the target for the first token.
func (t *EngineTable) batchPenalty(steps *stepModel, n, prefilling, output float64) float64 {
	if output <= 1 {
		return 0
	}
	// Over the last tenth of the target below stepLimit, a predicted step turns from safe to late and the cost rises
	// linearly.
	excess := (steps.predict(n+1, prefilling) - stepLimit*t.target.between) / (0.1 * t.target.between)
	if excess <= -1 {
		return 0
	}
	return t.target.first * min(1, 1+excess) * (1 + 0.1*n)
}

// decodePenalty returns the cost of processing a prompt for the n requests that are being decoded, in seconds: each of
// them tolerates long gaps between tokens for longGapShare of its stay in the batch.
func (t *EngineTable) decodePenalty(steps *stepModel, n, duration, stay float64) float64 {
	if n < 1 || steps.predict(n, 1) <= t.target.between {
		return 0
	}
	lost := min(1, duration/(longGapShare*stay))
	return t.target.first * n * lost
}

// latePenalty returns the cost of a time to the first token beyond the target, in seconds.
func (t *EngineTable) latePenalty(first float64) float64 {
	if first <= t.target.first {
		return 0
	}
	return t.target.first
}
