package retry

import "time"

// TakePart takes one retry from the budget if at most the given part of it is used afterwards, not counting the
// allowance of each instance. It returns false otherwise.
func (w *WindowBudget) TakePart(now time.Time, part float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.partLeft(now, part) {
		return false
	}
	w.advance(now).retries++
	return true
}

// PartLeft reports whether TakePart would succeed.
func (w *WindowBudget) PartLeft(now time.Time, part float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.partLeft(now, part)
}

func (w *WindowBudget) partLeft(now time.Time, part float64) bool {
	w.advance(now)
	requests, retries := 0, 0
	for _, b := range w.buckets {
		requests += b.requests
		retries += b.retries
	}
	return float64(retries)+1 <= part*w.share*float64(requests)
}
