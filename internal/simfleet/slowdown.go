package simfleet

import (
	"math"
	"math/rand/v2"
	"time"
)

// Slowdown describes neighbours on the replicas' machines. Each replica has periods of equal length, and each period is
// slow or not, independently of all others.
type Slowdown struct {
	// Factor multiplies the processing times in a slow period.
	Factor float64 `json:"factor"`
	// Share is the share of the periods that are slow.
	Share float64 `json:"share"`
	// Period is the length of a period in milliseconds.
	Period float64 `json:"period_ms"`
	// PrefillReports is set if responses in stage prefill have load reports, too.
	PrefillReports bool `json:"prefill_reports,omitempty"`
}

// momentary returns the factor in force at a replica at a time, and the end of the period.
func (r *replica) momentary(at time.Duration) (factor float64, until time.Duration) {
	s := r.service.Slowdown
	if s == nil {
		return 1, math.MaxInt64
	}
	period := millis(s.Period)
	offset := time.Duration(float64(period) * rand.New(rand.NewPCG(r.slowdownSeed, 0)).Float64())
	number := (at + offset) / period
	factor = 1
	if rand.New(rand.NewPCG(r.slowdownSeed, uint64(number)+1)).Float64() < s.Share {
		factor = s.Factor
	}
	return factor, (number+1)*period - offset
}

// workTime returns how long the replica takes from now on for some milliseconds of work.
func (r *replica) workTime(ms float64) time.Duration {
	left, now := millis(ms*r.slowness), r.sim.Now()
	for at := now; ; {
		factor, until := r.momentary(at)
		if took := time.Duration(float64(left) * factor); took <= until-at {
			return at + took - now
		}
		left -= time.Duration(float64(until-at) / factor)
		at = until
	}
}
