package place

import (
	"math"
	"time"

	"rhubarbpoint/upstream"
)

const (
	// startPace is the number of prompt tokens per millisecond of a prefill replica before any is measured. Only the
	// ratio to the times on the network matters.
	startPace = 100
	// paceSample is the least number of tokens that say something about the pace.
	paceSample = 512
	// paceGain is the weight of one measurement. Faster ones count at once, because waiting only makes them slower.
	paceGain = 0.05
	// decodePace is the pace of decode replicas relative to prefill replicas, which process prompts between the tokens of
	// running answers.
	decodePace = 0.5
	// startWork is the time of a request to a plain service before any is measured.
	startWork = 30 * time.Millisecond
	workGain  = 0.02
)

// pace measures how fast the replicas of one service work.
type pace struct {
	tokensPerMs float64
	work        time.Duration
	// waited is the mean of the milliseconds that prompts waited lately at any replica, at the time of the last one.
	waited   float64
	waitedAt time.Time
}

func newPace() *pace { return &pace{tokensPerMs: startPace, work: startWork} }

// prompt takes the milliseconds in which a replica processed at least so many prompt tokens.
func (p *pace) prompt(tokens, ms, relative float64) {
	if tokens < paceSample || ms <= 0 {
		return
	}
	measured := tokens / ms / relative
	if measured > p.tokensPerMs {
		p.tokensPerMs += (measured - p.tokensPerMs) / 2
		return
	}
	p.tokensPerMs += (measured - p.tokensPerMs) * paceGain
}

// relativePace returns the pace of a replica for prompts, relative to one that does nothing else.
func relativePace(r *upstream.Replica) float64 {
	if r.Stage == upstream.Prefill {
		return 1
	}
	return decodePace
}

// wait takes the milliseconds that a prompt waited.
func (p *pace) wait(now time.Time, ms float64) {
	gain := 1.0
	if !p.waitedAt.IsZero() {
		gain = math.Max(usualGain, 1-math.Exp(-now.Sub(p.waitedAt).Seconds()/delayDecay.Seconds()))
	}
	p.waited += (math.Max(0, ms) - p.waited) * gain
	p.waitedAt = now
}

// usualWait returns the milliseconds that a prompt waits at a replica of which nothing else is known. It falls while
// nothing is observed, so that requests are tried again after all were refused.
func (p *pace) usualWait(now time.Time) float64 {
	if p.waitedAt.IsZero() {
		return 0
	}
	return p.waited * math.Exp(-now.Sub(p.waitedAt).Seconds()/delayDecay.Seconds())
}

// answered takes the time of a whole request to a plain service.
func (p *pace) answered(took time.Duration) {
	p.work += time.Duration(float64(took-p.work) * workGain)
}

// ms returns the milliseconds for a number of prompt tokens.
func (p *pace) ms(tokens, relative float64) float64 {
	return tokens / math.Max(p.tokensPerMs*relative, 1)
}
