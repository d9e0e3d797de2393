package retry

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets in a window. Counts expire one bucket at a time.
	windowBuckets = 20
	// windowBurst is the number of retries that an instance may make in each window in addition to its share of the
	// requests. It is small because every instance of a fleet has this allowance at the same time.
	windowBurst = 1
)

// WindowBudget is a retry budget that allows retries for a share of the requests in a sliding window. Because each
// instance keeps to the share of its own requests, all instances together keep to the share of all requests without
// coordination. It is safe for concurrent use.
type WindowBudget struct {
	share      float64
	bucketSpan time.Duration

	mu      sync.Mutex
	start   time.Time
	newest  int64 // number of the newest bucket, counted from start
	buckets [windowBuckets]struct{ requests, retries int }
}

// NewWindowBudget returns a budget that allows share × requests retries in each sliding window.
func NewWindowBudget(share float64, window time.Duration) *WindowBudget {
	return &WindowBudget{share: share, bucketSpan: window / windowBuckets}
}

// RecordRequest counts a new request.
func (w *WindowBudget) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now).requests++
}

// Take takes one retry from the budget. It returns false if the budget is exhausted.
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

// advance clears the buckets that have left the window and returns the newest one.
func (w *WindowBudget) advance(now time.Time) *struct{ requests, retries int } {
	if w.start.IsZero() {
		w.start = now
	}
	number := int64(now.Sub(w.start) / w.bucketSpan)
	for n := max(w.newest+1, number-windowBuckets+1); n <= number; n++ {
		w.buckets[n%windowBuckets] = struct{ requests, retries int }{}
	}
	w.newest = max(w.newest, number)
	return &w.buckets[w.newest%windowBuckets]
}
