package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// ejectAfter is the number of failures in a row that ejects an upstream.
	ejectAfter = 3
	// ejectBase doubles with each ejection without a success between, up to ejectMax.
	ejectBase = 2 * time.Second
	ejectMax  = time.Minute
	// returnSpan is the time over which a recovered upstream gets back its full share.
	returnSpan = 10 * time.Second
	// returnShare is the share of requests that may choose a recovered upstream at first.
	returnShare = 0.1
	// maxEjected is the largest part of the candidates that is kept apart at a time.
	maxEjected = 0.5
)

// Health tracks which upstreams fail. It is safe for concurrent use.
type Health struct {
	random func() float64

	mu        sync.Mutex
	upstreams map[string]*record
}

// record is the health of one upstream.
type record struct {
	failures  int // in a row
	ejections int // without a success between
	until     time.Time
}

// NewHealth returns a tracker that knows no failures.
func NewHealth() *Health { return NewHealthWith(rand.Float64) }

// NewHealthWith returns a tracker with a source of random numbers in [0,1), for repeatable choices.
func NewHealthWith(random func() float64) *Health {
	return &Health{random: random, upstreams: make(map[string]*record)}
}

// RecordSuccess counts a success.
func (h *Health) RecordSuccess(now time.Time, upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.upstreams[upstream]
	if r == nil {
		return
	}
	r.failures = 0
	if !now.Before(r.until.Add(returnSpan)) {
		delete(h.upstreams, upstream)
	}
}

// RecordFailure counts a failure. It returns true when the upstream is ejected by it.
func (h *Health) RecordFailure(now time.Time, upstream string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.upstreams[upstream]
	if r == nil {
		r = &record{}
		h.upstreams[upstream] = r
	}
	r.failures++
	if r.failures < ejectAfter || now.Before(r.until) {
		return false
	}
	r.until = now.Add(min(ejectMax, ejectBase<<min(r.ejections, 16)))
	r.ejections++
	// A failure during the return ejects at once.
	r.failures = ejectAfter - 1
	return true
}

// quiet says that no upstream has failed lately, so that none is excluded.
func (h *Health) quiet() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.upstreams) == 0
}

// Excluded returns which of the candidates a request should not choose: those that are ejected, and, by chance, those
// that return from an ejection. It never excludes more than half of the candidates, so one is always left.
func (h *Health) Excluded(now time.Time, candidates []string) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	excluded := make(map[string]bool)
	room := int(float64(len(candidates)) * maxEjected)
	for _, upstream := range candidates {
		r := h.upstreams[upstream]
		if r == nil || r.until.IsZero() || len(excluded) >= room {
			continue
		}
		if h.random() >= r.share(now) {
			excluded[upstream] = true
		}
	}
	return excluded
}

// Healthy leaves out the candidates that a request should not choose, as Excluded says of their keys. It returns the list
// itself when there are none, and makes no keys while no upstream has failed lately.
func Healthy[T any](h *Health, now time.Time, candidates []T, key func(T) string) []T {
	if h.quiet() {
		return candidates
	}
	keys := make([]string, len(candidates))
	for i, c := range candidates {
		keys[i] = key(c)
	}
	excluded := h.Excluded(now, keys)
	if len(excluded) == 0 {
		return candidates
	}
	left := make([]T, 0, len(candidates))
	for i, c := range candidates {
		if !excluded[keys[i]] {
			left = append(left, c)
		}
	}
	return left
}

// Ejected returns the ejected upstreams and when each may return, for the state dump.
func (h *Health) Ejected(now time.Time) map[string]time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	ejected := make(map[string]time.Time)
	for upstream, r := range h.upstreams {
		if now.Before(r.until) {
			ejected[upstream] = r.until
		}
	}
	return ejected
}

// share is the part of requests that may choose the upstream.
func (r *record) share(now time.Time) float64 {
	back := now.Sub(r.until)
	if back < 0 {
		return 0
	}
	return min(1, returnShare+(1-returnShare)*back.Seconds()/returnSpan.Seconds())
}
