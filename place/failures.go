package place

import (
	"math"
	"time"
)

const (
	// failureGain is the weight of one outcome in the share of failures.
	failureGain = 0.3
	// failureMemory is the time in which the share of failures loses most of its weight, so that a replica that failed is
	// tried again after a few seconds.
	failureMemory = 2 * time.Second
	// handoffLoss is the price of a prompt that was processed in vain, refusalLoss that of a send that was refused, in
	// milliseconds.
	handoffLoss = 600.0
	refusalLoss = 100.0
)

// failures is the share of a replica's latest outcomes that were failures.
type failures struct {
	failed float64
	at     time.Time
}

// add takes an outcome.
func (f *failures) add(now time.Time, ok bool) {
	failed := 0.0
	if !ok {
		failed = 1
	}
	share := f.share(now)
	f.failed, f.at = share+(failed-share)*failureGain, now
}

// share returns the share of failures that is to be expected now.
func (f *failures) share(now time.Time) float64 {
	if f.failed == 0 {
		return 0
	}
	return f.failed * math.Exp(-now.Sub(f.at).Seconds()/failureMemory.Seconds())
}
