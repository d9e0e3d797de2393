package route

import (
	"time"
)

// place is an engine with its expected state and its part of the estimate for one request.
type place struct {
	u        *upstream
	state    estimate
	uncached float64
	prefill  float64 // seconds until the prompt is processed
	harm     float64 // seconds, done to running requests by processing the prompt here
	seat     float64 // seconds until a place in the batch is free
	step     float64 // expected 95th percentile of the time between tokens
	load     float64 // seconds, done to later requests by processing the prompt here
	crowd    float64 // seconds, done by one more request in the batch
}

// batchTimes returns the step model of the engine's role, the mean stay in its batch and its step, in seconds.
func (t *EngineTable) batchTimes(u *upstream) (steps *stepModel, stay, step float64) {
	role, running := uint32(roleMixed), 0.0
	if u.load != nil {
		role, running = u.load.Role, float64(u.load.Running)
	}
	steps = t.stepModel(role)
	return steps, t.meanStay(steps, running), steps.predict(running, 0)
}

// place estimates the parts of the cost of one engine.
func (t *EngineTable) place(now time.Time, u *upstream, req *Request) place {
	steps, stay, step := t.batchTimes(u)
	p := place{u: u, state: u.estimate(now, t.models[req.Model].PrefillTokensPerSecond, stay, step)}
	p.uncached = float64(u.uncached(now, req))
	p.prefill = (p.state.waiting + p.uncached) / p.state.rate
	n := p.state.running
	length := t.answerLength(req)
	disturbed := 0.0
	if p.state.busy > allowedGaps || p.state.waiting > 0 {
		disturbed = 1
	}
	p.step = steps.predict(n+1, disturbed)
	if over := n + 1 - p.state.maximum; over > 0 {
		p.seat = over / p.state.maximum * stay
	}
	p.crowd = t.crowding(steps, n, disturbed, length)
	p.load = p.uncached / p.state.rate * min(4, p.state.busy/(1-min(p.state.busy, 0.8)))
	p.harm = t.disturbance(steps, n, p.uncached/p.state.rate, stay)
	return p
}

// meanStay is the time that a request found in the batch spends there. Long answers are found more often in proportion
// to their length, so it is the mean weighted by length.
func (t *EngineTable) meanStay(steps *stepModel, running float64) float64 {
	if !t.answers.known || t.answers.value <= 0 {
		return t.target.first
	}
	return max(t.target.between, t.squares.value/t.answers.value*steps.predict(running, 0))
}

// crowding is the cost of one more request in the batch: a batch whose step passes the target makes all of its
// requests late. The cost of one late answer is taken as the first token target.
func (t *EngineTable) crowding(steps *stepModel, n, disturbed, length float64) float64 {
	if length <= 1 {
		return 0
	}
	// A tenth of the target is the margin over which a prediction turns from sure to late.
	excess := (steps.predict(n+1, disturbed) - sureStep*t.target.between) / (0.1 * t.target.between)
	if excess <= -1 {
		return 0
	}
	return t.target.first * min(1, 1+excess) * (1 + 0.1*n)
}

// disturbance is the cost that processing a prompt has for the requests that are being decoded: each has a budget of
// long gaps of allowedGaps of its stay.
func (t *EngineTable) disturbance(steps *stepModel, n, duration, stay float64) float64 {
	if n < 1 || steps.predict(n, 1) <= t.target.between {
		return 0
	}
	lost := min(1, duration/(allowedGaps*stay))
	return t.target.first * n * lost
}

func (t *EngineTable) late(first float64) float64 {
	if first <= t.target.first {
		return 0
	}
	return t.target.first
}
