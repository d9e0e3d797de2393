package truetime

import (
	"time"

	"rhubarbpoint/internal/boottime"
)

// driftPerSecond bounds how far the boot-time clock drifts from true time. Quartz clocks without correction stay within
// 100 parts per million.
const driftPerSecond = 100 * time.Microsecond

// maxError is the largest error of an estimate that is used. Calls to collectors time out after 0.8 s, so a longer round
// trip means that this instance was frozen during the call.
const maxError = 500 * time.Millisecond

// Estimate is true time as a collector gave it.
type Estimate struct {
	// Time is true time when the boot-time clock of this instance showed Boot.
	Time time.Time
	Boot boottime.Instant
	// Error is the greatest error that the transport of the estimate can have caused: half of the round trip.
	Error time.Duration
	// Clocks is the number of wall clocks that the estimate uses.
	Clocks int
}

// Received returns the estimate for a response that was received at the time boot of the boot-time clock, a round trip
// after its call.
func Received(given time.Time, clocks int, boot boottime.Instant, roundTrip time.Duration) Estimate {
	return Estimate{Time: given.Add(roundTrip / 2), Boot: boot, Error: roundTrip / 2, Clocks: clocks}
}

// errorAt returns the error bound at a time of the boot-time clock.
func (e *Estimate) errorAt(boot boottime.Instant) time.Duration {
	return e.Error + time.Duration(boot.Sub(e.Boot).Seconds()*float64(driftPerSecond))
}

// Best returns, of the estimates with an error of at most maxError, the one that uses the most clocks, of these the one with the least error, and whether it uses at
// least half as many clocks as there are live instances. An estimate of fewer clocks, from a collector that has just
// started or was cut off, could follow a few that have jumped.
func Best(estimates []Estimate, live int) (best Estimate, usable bool) {
	for _, e := range estimates {
		if e.Error > maxError {
			continue
		}
		if e.Clocks > best.Clocks || e.Clocks == best.Clocks && e.Error < best.Error {
			best = e
		}
	}
	return best, best.Clocks > 0 && 2*best.Clocks >= live
}
