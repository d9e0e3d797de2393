package retry

import "time"

// MinRetryAfter is the least time after which a refused caller is asked to come back.
const MinRetryAfter = 200 * time.Millisecond

// RetryAfter returns when a caller that was refused for lack of room should come back. over is the work that must be done
// before there is room; a random part spreads the callers, which would otherwise return as one burst.
func RetryAfter(over time.Duration, random func() float64) time.Duration {
	return MinRetryAfter + time.Duration(random()*float64(MinRetryAfter+over))
}
