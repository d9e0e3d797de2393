package route

import (
	"math"
	"time"
)

// unmetDemand is the demand that was held back, refused or sent to another region for lack of capacity, as decaying
// rates. The role planner counts it as demand, because otherwise an overloaded role would look like one that is just
// full.
type unmetDemand struct {
	at      time.Time
	prefill float64 // tokens/s
	decode  float64 // tokens/s
}

// unmetDecay is the time constant of the decay.
const unmetDecay = 10 * time.Second

func (u *unmetDemand) decay(now time.Time) {
	if dt := now.Sub(u.at); dt > 0 && !u.at.IsZero() {
		factor := math.Exp(-dt.Seconds() / unmetDecay.Seconds())
		u.prefill *= factor
		u.decode *= factor
	}
	u.at = now
}

func (u *unmetDemand) add(now time.Time, prefillTokens, decodeTokens float64) {
	u.decay(now)
	u.prefill += prefillTokens / unmetDecay.Seconds()
	u.decode += decodeTokens / unmetDecay.Seconds()
}
