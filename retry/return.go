package retry

import "time"

// RefusalPause is the least time after which a refused caller is asked to come back.
const RefusalPause = 200 * time.Millisecond

// ReturnAfter returns when a caller that was refused for lack of room should come back. over is the work that must be done
// before there is room; a random part spreads the callers, which would otherwise return as one burst.
func ReturnAfter(over time.Duration, random func() float64) time.Duration {
	return RefusalPause + time.Duration(random()*float64(RefusalPause+over))
}
