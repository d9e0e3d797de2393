package entry

import (
	"sync"
	"time"
)

const (
	// initialTokens and expectedStep hold until answers have been seen: a middling answer at a usual speed.
	initialTokens = 256
	initialStep   = 20 * time.Millisecond
	// typicalBatch is the number of requests that usually share a decode step.
	typicalBatch = 16
	// smoothingFactor is the weight of the newest answer in the running means.
	smoothingFactor = 0.05
)

// completionEstimates are running means of the answers of each model, for admission. They are safe for concurrent use.
type completionEstimates struct {
	mu      sync.Mutex
	byModel map[string]completionEstimate
}

// completionEstimate is what an answer of one model is expected to be.
type completionEstimate struct {
	tokens float64
	step   float64 // seconds
}

func (e *completionEstimates) get(model string) completionEstimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, found := e.byModel[model]; found {
		return known
	}
	return completionEstimate{initialTokens, initialStep.Seconds()}
}

// observe takes a finished answer into the means. span is the time from the first to the last token.
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

// decodeTime returns the expected time from the first to the last token of an answer of at most maxTokens.
func (e completionEstimate) decodeTime(maxTokens int) time.Duration {
	return time.Duration(min(e.tokens, float64(maxTokens)) * e.step * float64(time.Second))
}
