package bench

import (
	"time"

	"rhubarbpoint/route"
)

// attempt is one request on its way.
type attempt struct {
	req     *Request
	entry   *entry
	route   *route.Request
	choice  route.Choice
	arrived time.Duration
	// latency is the one-way time between entry instance and engine.
	latency time.Duration
	release func(time.Time)

	uncached int // prompt tokens left to process at the engine
	started  bool
	cached   int // leading pieces that were cached
	first    time.Duration
	last     time.Duration
	tokens   int
	gaps     int
	long     int
	tries    int
}

// token notes one token at the engine's time.
func (a *attempt) token(now time.Duration) {
	if a.tokens == 0 {
		a.first = now
	} else {
		a.gaps++
		if now-a.last > targetBetween {
			a.long++
		}
	}
	a.last = now
	a.tokens++
}

// good says whether the answer met both targets. The 95th percentile of the gaps is within the target if at most one
// gap in twenty is longer.
func (a *attempt) good() bool {
	first := a.first - a.arrived + a.latency + callerLatency
	return first <= targetFirst && 20*a.long <= a.gaps
}
