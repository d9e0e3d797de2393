package admit

import (
	"math"
	"time"
)

// account holds the offered work and the token bucket of one workspace. Costs are in seconds of one engine.
type account struct {
	weight     float64
	offered    float64 // rate of offered cost, an exponential average
	decayedAt  time.Time
	bucket     float64 // cost that may start now; one request can make it negative
	refilledAt time.Time
}

// offeredDecay is the time constant of the offered rate: long enough to smooth single requests, short enough to return
// an unused share to other workspaces within seconds.
const offeredDecay = 3 * time.Second

func (a *account) addOffered(now time.Time, cost float64) {
	a.decay(now)
	a.offered += cost / offeredDecay.Seconds()
}

func (a *account) decay(now time.Time) {
	if dt := now.Sub(a.decayedAt); dt > 0 {
		a.offered *= math.Exp(-dt.Seconds() / offeredDecay.Seconds())
		a.decayedAt = now
	}
}

// burstTime is the size of the token bucket in seconds of its rate.
const burstTime = 1.0

// take refills the token bucket at the given rate and takes the cost from it. It returns false if the bucket is empty.
func (a *account) take(now time.Time, rate, cost float64) bool {
	if a.refilledAt.IsZero() {
		a.bucket = rate * burstTime
	} else {
		a.bucket = min(rate*burstTime, a.bucket+rate*now.Sub(a.refilledAt).Seconds())
	}
	a.refilledAt = now
	if a.bucket <= 0 {
		return false
	}
	a.bucket -= cost
	return true
}
