package place

import (
	"math"
	"time"
)

const (
	// failureGain is the weight of one outcome in the failure rate.
	failureGain = 0.3
	// failureDecay is the time constant of the failure rate, so that a replica that failed is tried again after a few
	// seconds.
	failureDecay = 2 * time.Second
	// handoffFailurePenalty is the cost in milliseconds of a prefill that was wasted because its handoff failed,
	// refusalPenalty that of an attempt that was refused.
	handoffFailurePenalty = 600.0
	refusalPenalty        = 100.0
)

// failureRate is the decaying share of failures among a replica's recent outcomes.
type failureRate struct {
	value float64
	at    time.Time
}

// observe records an outcome.
func (f *failureRate) observe(now time.Time, ok bool) {
	failed := 0.0
	if !ok {
		failed = 1
	}
	rate := f.current(now)
	f.value, f.at = rate+(failed-rate)*failureGain, now
}

// current returns the failure rate with the decay since the last outcome.
func (f *failureRate) current(now time.Time) float64 {
	if f.value == 0 {
		return 0
	}
	return f.value * math.Exp(-now.Sub(f.at).Seconds()/failureDecay.Seconds())
}
