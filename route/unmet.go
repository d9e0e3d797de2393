package route

import (
	"math"
	"time"
)

// unmet is the demand that was held back, refused as too late or sent to another region, as decaying rates. The role planner counts it as demand, because an
// overloaded role would otherwise look just full.
type unmet struct {
	at      time.Time
	prefill float64 // tokens/s
	decode  float64 // tokens/s
}

// unmetMemory is the time constant of the decay.
const unmetMemory = 10 * time.Second

func (u *unmet) decay(now time.Time) {
	if dt := now.Sub(u.at); dt > 0 && !u.at.IsZero() {
		keep := math.Exp(-dt.Seconds() / unmetMemory.Seconds())
		u.prefill *= keep
		u.decode *= keep
	}
	u.at = now
}

func (u *unmet) add(now time.Time, prefillTokens, decodeTokens float64) {
	u.decay(now)
	u.prefill += prefillTokens / unmetMemory.Seconds()
	u.decode += decodeTokens / unmetMemory.Seconds()
}
