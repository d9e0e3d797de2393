package retry

import "time"

// MinRetryAfter is the shortest Retry-After of a refusal.
const MinRetryAfter = 200 * time.Millisecond

// RetryAfter returns the Retry-After of a request that was refused for lack of capacity. excess is the work, as a time,
// that must be done before there is capacity. Random jitter spreads the callers, which would otherwise retry as one
// burst.
//
// floor is the time before which there is certainly none.
func RetryAfter(excess, floor time.Duration, random func() float64) time.Duration {
	return max(MinRetryAfter, floor) + time.Duration(random()*float64(MinRetryAfter+excess-floor))
}
