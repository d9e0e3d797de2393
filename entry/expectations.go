package entry

import (
	"sync"
	"time"
)

const (
	// expectedTokens and expectedStep hold until answers have been seen: a middling answer at a usual speed.
	expectedTokens = 256
	expectedStep   = 20 * time.Millisecond
	// expectedBatch is the number of requests that usually share a decode step.
	expectedBatch = 16
	// newestWeight is the weight of the newest answer in the running means.
	newestWeight = 0.05
)

// expectations are running means of the answers of each model, for admission. They are safe for concurrent use.
type expectations struct {
	mu      sync.Mutex
	byModel map[string]expectation
}

// expectation is what an answer of one model is expected to be.
type expectation struct {
	tokens float64
	step   float64 // seconds
}

func (e *expectations) get(model string) expectation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, found := e.byModel[model]; found {
		return known
	}
	return expectation{expectedTokens, expectedStep.Seconds()}
}

// add takes a finished answer into the means. span is the time from the first to the last token.
func (e *expectations) add(model string, tokens int, span time.Duration) {
	known := e.get(model)
	known.tokens += newestWeight * (float64(tokens) - known.tokens)
	if tokens > 1 {
		known.step += newestWeight * (span.Seconds()/float64(tokens-1) - known.step)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byModel == nil {
		e.byModel = make(map[string]expectation)
	}
	e.byModel[model] = known
}

// decode returns the expected time from the first to the last token of an answer of at most maxTokens.
func (e expectation) decode(maxTokens int) time.Duration {
	return time.Duration(min(e.tokens, float64(maxTokens)) * e.step * float64(time.Second))
}
