package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// ejectAfter is the number of consecutive failures that ejects an upstream.
	ejectAfter = 3
	// baseEjectionTime is the length of the first ejection. It doubles with each further ejection, up to
	// maxEjectionTime, until the upstream succeeds after its slow start.
	baseEjectionTime = 2 * time.Second
	maxEjectionTime  = time.Minute
	// slowStartDuration is the time over which an upstream returns to its full share of requests after an ejection.
	slowStartDuration = 10 * time.Second
	// slowStartShare is the share of requests that may choose an upstream directly after an ejection.
	slowStartShare = 0.1
	// maxExcludedShare is the largest share of the candidates that is excluded for one request.
	maxExcludedShare = 0.5
)

// Health detects failing upstreams and ejects them for a time (outlier ejection). It is safe for concurrent use.
type Health struct {
	random func() float64

	mu        sync.Mutex
	upstreams map[string]*upstreamHealth
}

// upstreamHealth is the record of one upstream that has failed recently.
type upstreamHealth struct {
	consecutiveFailures  int
	consecutiveEjections int // since the last success after a slow start
	ejectedUntil         time.Time
}

// NewHealth returns a tracker without recorded failures.
func NewHealth() *Health { return NewHealthWith(rand.Float64) }

// NewHealthWith returns a tracker that draws random numbers in [0,1) from random, which makes its choices reproducible.
func NewHealthWith(random func() float64) *Health {
	return &Health{random: random, upstreams: make(map[string]*upstreamHealth)}
}

// RecordSuccess records a successful attempt.
func (h *Health) RecordSuccess(now time.Time, upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.upstreams[upstream]
	if r == nil {
		return
	}
	r.consecutiveFailures = 0
	if !now.Before(r.ejectedUntil.Add(slowStartDuration)) {
		delete(h.upstreams, upstream)
	}
}

// RecordFailure records a failed attempt. It returns true if this failure ejects the upstream.
func (h *Health) RecordFailure(now time.Time, upstream string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.upstreams[upstream]
	if r == nil {
		r = &upstreamHealth{}
		h.upstreams[upstream] = r
	}
	r.consecutiveFailures++
	if r.consecutiveFailures < ejectAfter || now.Before(r.ejectedUntil) {
		return false
	}
	r.ejectedUntil = now.Add(min(maxEjectionTime, baseEjectionTime<<min(r.consecutiveEjections, 16)))
	r.consecutiveEjections++
	// One failure during the slow start ejects the upstream again.
	r.consecutiveFailures = ejectAfter - 1
	return true
}

// Forget drops all records, so that every upstream is usable at once.
func (h *Health) Forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.upstreams)
}

// Copy returns a tracker with the same records, for choices that must not affect later ones. It draws its own random
// numbers, so its choices among upstreams in slow start can differ.
func (h *Health) Copy() *Health {
	copied := NewHealth()
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, r := range h.upstreams {
		record := *r
		copied.upstreams[name] = &record
	}
	return copied
}

// noRecentFailures reports whether no upstream has failed recently, so that none can be excluded.
func (h *Health) noRecentFailures() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.upstreams) == 0
}

// Excluded returns the candidates that a request should not choose: those that are ejected, and a random share of those
// in slow start. It never excludes more than half of the candidates, so at least one always remains.
func (h *Health) Excluded(now time.Time, candidates []string) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	excluded := make(map[string]bool)
	limit := int(float64(len(candidates)) * maxExcludedShare)
	for _, upstream := range candidates {
		r := h.upstreams[upstream]
		if r == nil || r.ejectedUntil.IsZero() || len(excluded) >= limit {
			continue
		}
		if h.random() >= r.trafficShare(now) {
			excluded[upstream] = true
		}
	}
	return excluded
}

// Healthy returns the candidates whose keys Excluded does not return, and all of a group of which none would be left. It returns
// candidates itself if none is excluded, and does not compute the keys while no upstream has failed recently.
func Healthy[T any, G comparable](h *Health, now time.Time, candidates []T, key func(T) string, group func(T) G) []T {
	if h.noRecentFailures() {
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
	left := make(map[G]bool)
	for i, c := range candidates {
		if !excluded[keys[i]] {
			left[group(c)] = true
		}
	}
	remaining := make([]T, 0, len(candidates))
	for i, c := range candidates {
		if !excluded[keys[i]] || !left[group(c)] {
			remaining = append(remaining, c)
		}
	}
	return remaining
}

// Ejected returns the ejected upstreams and when the ejection of each ends. The state dump shows it.
func (h *Health) Ejected(now time.Time) map[string]time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	ejected := make(map[string]time.Time)
	for upstream, r := range h.upstreams {
		if now.Before(r.ejectedUntil) {
			ejected[upstream] = r.ejectedUntil
		}
	}
	return ejected
}

// trafficShare returns the share of requests that may choose the upstream: 0 while it is ejected, then rising from
// slowStartShare to 1.
func (r *upstreamHealth) trafficShare(now time.Time) float64 {
	sinceEjection := now.Sub(r.ejectedUntil)
	if sinceEjection < 0 {
		return 0
	}
	return min(1, slowStartShare+(1-slowStartShare)*sinceEjection.Seconds()/slowStartDuration.Seconds())
}
