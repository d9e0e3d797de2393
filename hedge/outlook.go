package hedge

import "time"

// Outlook is what is known about the speed of one replica.
type Outlook struct {
	// Wait is the estimated queueing delay when the attempt was or would be placed.
	Wait time.Duration
	// Factor is how long work takes at the replica at this moment, relative to its usual time; 1 if it is not known.
	Factor float64
	// PastFactor is the mean of the factor since a running attempt was sent. It is not used for a fresh attempt.
	PastFactor float64
}

// work converts the time since an attempt was sent to a time at the usual speed, without the wait.
func (o Outlook) work(elapsed time.Duration) time.Duration {
	return time.Duration(float64(max(0, elapsed-o.Wait)) / o.PastFactor)
}
