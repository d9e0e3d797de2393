package discovery

import "time"

// sourceRetry is how long a source that failed is not asked again while others are left.
const sourceRetry = 3 * time.Second

// sourceHealth remembers which sources failed lately. It is not safe for concurrent use.
type sourceHealth struct{ failedAt map[string]time.Time }

// usable returns the sources without a recent failure.
func (h *sourceHealth) usable(now time.Time, sources []string) []string {
	var usable []string
	for _, source := range sources {
		if at, failed := h.failedAt[source]; !failed || now.Sub(at) >= sourceRetry {
			usable = append(usable, source)
		}
	}
	return usable
}

// record records whether a source responded.
func (h *sourceHealth) record(now time.Time, source string, ok bool) {
	if ok {
		delete(h.failedAt, source)
		return
	}
	if h.failedAt == nil {
		h.failedAt = make(map[string]time.Time)
	}
	h.failedAt[source] = now
}
