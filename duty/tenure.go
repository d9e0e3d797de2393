package duty

import "time"

// tenure is what an instance knows about its lease. The zero value means that it holds none. Its decisions depend only
// on it and on the given time, so a copy can be read by other goroutines.
//
// They bound the time in which two instances could both consider themselves the holder: whatever load or fault delays
// a renewal, a holder stops before its lease can have ended.
type tenure struct {
	fence    int64
	acquired time.Time
	renewed  time.Time // when the last successful renewal was sent
	// historyExists is set when historyKey is known to exist, wroteHistory when this instance wrote it.
	historyExists, wroteHistory bool
}

// mayAct reports whether a call may be made now.
func (t tenure) mayAct(now time.Time) bool {
	return t.fence != 0 && t.historyExists && !t.ended(now) && (t.wroteHistory || takeoverDelayPassed(t.acquired, now))
}

// ended reports whether so much of the lease has passed that no call may be started any more.
func (t tenure) ended(now time.Time) bool { return elapsed(t.renewed, now) >= leaseTTL-leaseMargin }

// elapsed returns the longer of the elapsed times by the monotonic and the wall clock. If the wall clock went back, it
// returns leaseTTL, so that the lease counts as expired.
func elapsed(since, now time.Time) time.Duration {
	monotonic, wall := now.Sub(since), now.Round(0).Sub(since.Round(0))
	if wall < 0 {
		return leaseTTL
	}
	return max(monotonic, wall)
}

// takeoverDelayPassed reports whether takeoverDelay has passed by both clocks.
func takeoverDelayPassed(since, now time.Time) bool {
	return min(now.Sub(since), now.Round(0).Sub(since.Round(0))) >= takeoverDelay
}
