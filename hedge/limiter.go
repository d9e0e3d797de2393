package hedge

import "time"

const (
	// limiterBuckets is the number of buckets that a window is divided into.
	limiterBuckets = 20
	// keptBuckets is one more than the window has, because second attempts in a bucket that has partly left the window
	// still count.
	keptBuckets = limiterBuckets + 1
)

// limiter limits second attempts to a share of the requests. At each second attempt, those of the window before it are
// at most the share of the requests of that window, without an allowance for a first one. Since every instance keeps to
// the share of its own requests, all of them keep to the share of all requests. It is not safe for concurrent use.
type limiter struct {
	share   float64
	span    time.Duration // of a bucket
	start   time.Time
	newest  int64 // number of the newest bucket, counted from start
	buckets [keptBuckets]struct{ requests, seconds int }
}

func newLimiter(share float64, window time.Duration) *limiter {
	return &limiter{share: share, span: window / limiterBuckets}
}

func (l *limiter) recordRequest(now time.Time) {
	l.advance(now)
	l.buckets[l.newest%keptBuckets].requests++
}

func (l *limiter) recordSecond(now time.Time) {
	l.advance(now)
	l.buckets[l.newest%keptBuckets].seconds++
}

// spent returns which part of the limit would be used after one more second attempt. Above 1 none is allowed.
func (l *limiter) spent(now time.Time) float64 {
	l.advance(now)
	requests, seconds := 0, 0
	for n := max(0, l.newest-keptBuckets+1); n <= l.newest; n++ {
		bucket := l.buckets[n%keptBuckets]
		seconds += bucket.seconds
		// The requests of the oldest bucket may have left the window.
		if n > l.newest-limiterBuckets {
			requests += bucket.requests
		}
	}
	allowed := l.share * float64(requests)
	if allowed < 1 {
		return 2 // not even one
	}
	return float64(seconds+1) / allowed
}

// advance clears the buckets that are reused.
func (l *limiter) advance(now time.Time) {
	if l.start.IsZero() {
		l.start = now
	}
	number := int64(now.Sub(l.start) / l.span)
	for n := max(l.newest+1, number-keptBuckets+1); n <= number; n++ {
		l.buckets[n%keptBuckets] = struct{ requests, seconds int }{}
	}
	l.newest = max(l.newest, number)
}
