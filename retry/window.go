package retry

import (
	"sync"
	"time"
)

const (
	// windowBuckets divides a window, so that old counts leave it step by step.
	windowBuckets = 20
	// windowBurst is the number of retries that an instance may make whatever its traffic. It is small, because all
	// instances of a fleet have it at the same time.
	windowBurst = 1
)

// WindowBudget allows retries for a share of the requests in a sliding window. Since each instance keeps to the share of its
// own requests, all instances together keep to the share of all requests without talking to each other. It is safe for
// concurrent use.
type WindowBudget struct {
	share float64
	step  time.Duration

	mu      sync.Mutex
	start   time.Time
	current int64 // number of the newest bucket
	buckets [windowBuckets]struct{ requests, retries int }
}

// NewWindowBudget returns a budget of share × requests in each window.
func NewWindowBudget(share float64, window time.Duration) *WindowBudget {
	return &WindowBudget{share: share, step: window / windowBuckets}
}

// RecordRequest counts a new request.
func (w *WindowBudget) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now).requests++
}

// Take allows a retry and counts it, or returns false.
func (w *WindowBudget) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	bucket := w.advance(now)
	requests, retries := 0, 0
	for _, b := range w.buckets {
		requests += b.requests
		retries += b.retries
	}
	if float64(retries)+1 > windowBurst+w.share*float64(requests) {
		return false
	}
	bucket.retries++
	return true
}

// advance clears the buckets that have left the window and returns the current one.
func (w *WindowBudget) advance(now time.Time) *struct{ requests, retries int } {
	if w.start.IsZero() {
		w.start = now
	}
	number := int64(now.Sub(w.start) / w.step)
	for n := max(w.current+1, number-windowBuckets+1); n <= number; n++ {
		w.buckets[n%windowBuckets] = struct{ requests, retries int }{}
	}
	w.current = max(w.current, number)
	return &w.buckets[w.current%windowBuckets]
}
