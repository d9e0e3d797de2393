package retry

import "time"

// MinRetryAfter is the shortest Retry-After of a refusal.
const MinRetryAfter = 200 * time.Millisecond

// RetryAfter returns the Retry-After of a request that was refused for lack of capacity. excess is the work, as a time,
// that must be done before there is capacity. Random jitter spreads the callers, which would otherwise retry as one
// burst.
func RetryAfter(excess time.Duration, random func() float64) time.Duration {
	return MinRetryAfter + time.Duration(random()*float64(MinRetryAfter+excess))
}
