package entry

import (
	"sync"
	"time"
)

const (
	// initialTokens and initialStep apply to a model without finished completions: a completion of medium length at a
	// usual speed.
	initialTokens = 256
	initialStep   = 20 * time.Millisecond
	// typicalBatch is the number of requests that usually share a decode step.
	typicalBatch = 16
	// smoothingFactor is the weight of the newest completion in the moving averages.
	smoothingFactor = 0.05
)

// completionEstimates holds moving averages of the completions of each model, for admission. It is safe for concurrent
// use.
type completionEstimates struct {
	mu      sync.Mutex
	byModel map[string]completionEstimate
}

// completionEstimate is the expected length and speed of a completion of one model.
type completionEstimate struct {
	tokens float64
	step   float64 // seconds between two tokens
}

func (e *completionEstimates) get(model string) completionEstimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, found := e.byModel[model]; found {
		return known
	}
	return completionEstimate{initialTokens, initialStep.Seconds()}
}

// observe updates the averages with a finished completion. span is the time from its first to its last token.
func (e *completionEstimates) observe(model string, tokens int, span time.Duration) {
	known := e.get(model)
	known.tokens += smoothingFactor * (float64(tokens) - known.tokens)
	if tokens > 1 {
		known.step += smoothingFactor * (span.Seconds()/float64(tokens-1) - known.step)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byModel == nil {
		e.byModel = make(map[string]completionEstimate)
	}
	e.byModel[model] = known
}

// decodeTime returns the expected time from the first to the last token of a completion of at most maxTokens.
func (e completionEstimate) decodeTime(maxTokens int) time.Duration {
	return time.Duration(min(e.tokens, float64(maxTokens)) * e.step * float64(time.Second))
}
