package bench

import (
	"time"

	"rhubarbpoint/route"
)

// inFlightRequest is a request that an entry instance has received, with its latest attempt at an engine.
type inFlightRequest struct {
	req     *Request
	entry   *entry
	route   *route.Request
	choice  route.Choice
	arrived time.Duration
	// latency is the one-way time between entry instance and engine.
	latency time.Duration
	release func(time.Time)

	uncachedTokens int // prompt tokens left to process at the engine
	prefillStarted bool
	cachedBlocks   int // leading prefix blocks that were cached
	firstToken     time.Duration
	lastToken      time.Duration
	tokens         int
	gaps           int
	longGaps       int
	attempts       int
}

// recordToken records that the engine has generated a token.
func (r *inFlightRequest) recordToken(now time.Duration) {
	if r.tokens == 0 {
		r.firstToken = now
	} else {
		r.gaps++
		if now-r.lastToken > targetBetweenTokens {
			r.longGaps++
		}
	}
	r.lastToken = now
	r.tokens++
}

// good reports whether the completion met both targets, for the first token and between tokens. The 95th percentile of
// the gaps is within the target if at most one gap in twenty is longer.
func (r *inFlightRequest) good() bool {
	toFirstToken := r.firstToken - r.arrived + r.latency + callerLatency
	return toFirstToken <= targetFirstToken && 20*r.longGaps <= r.gaps
}
