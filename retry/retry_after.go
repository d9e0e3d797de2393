package retry

import "time"

// RefusalPause is the shortest Retry-After of a refusal.
const RefusalPause = 200 * time.Millisecond

// ReturnAfter returns the Retry-After of a request that was refused for lack of capacity. excess is the work, as a
// time, that must be done before there is capacity. Random jitter spreads the callers, which would otherwise retry as
// one burst.
func ReturnAfter(excess time.Duration, random func() float64) time.Duration {
	return RefusalPause + time.Duration(random()*float64(RefusalPause+excess))
}
