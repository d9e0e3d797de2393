package activity

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// collectorCount is the number of collectors: two, so that the loss of one loses no reports.
	collectorCount = 2
	// collectorPurpose distinguishes this choice of instances from others.
	collectorPurpose = "activity"
	// collectorRetry is how long an instance that did not respond is replaced by the next in rank.
	collectorRetry = 3 * time.Second
)

// chooseCollectors returns the live instances with the highest rendezvous hash, highest first, so that all instances
// agree without messages. It answers the loss of a collector: those to avoid are replaced by the next in rank.
func chooseCollectors(live []string, avoid func(id string) bool) []string {
	hash := func(id string) uint64 { return xxhash.Sum64String(collectorPurpose + "/" + id) }
	ranked := slices.SortedFunc(slices.Values(live), func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(b), hash(a)), cmp.Compare(a, b))
	})
	ranked = slices.DeleteFunc(ranked, avoid)
	return ranked[:min(collectorCount, len(ranked))]
}

// collectorHealth remembers which collectors did not respond lately. It is safe for concurrent use.
type collectorHealth struct {
	mu       sync.Mutex
	failedAt map[string]time.Time
}

// record records whether a collector responded.
func (h *collectorHealth) record(now time.Time, id string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		delete(h.failedAt, id)
		return
	}
	if h.failedAt == nil {
		h.failedAt = make(map[string]time.Time)
	}
	// Processes that are gone for good are never asked for again.
	maps.DeleteFunc(h.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= collectorRetry })
	h.failedAt[id] = now
}

// failing returns whether a collector is to be avoided.
func (h *collectorHealth) failing(now time.Time, id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, failed := h.failedAt[id]
	if failed && now.Sub(at) >= collectorRetry {
		delete(h.failedAt, id)
		return false
	}
	return failed
}
