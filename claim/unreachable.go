package claim

import (
	"sync"
	"time"
)

// unreachableTTL is how long a writer that did not answer is not called again. Membership drops a dead one after 15 s.
const unreachableTTL = 3 * time.Second

// unreachableSet holds the writers whose last call, within unreachableTTL, got no answer or found them stopping. It is
// safe for concurrent use.
type unreachableSet struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newUnreachableSet() *unreachableSet { return &unreachableSet{until: make(map[string]time.Time)} }

func (a *unreachableSet) add(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for id, until := range a.until {
		if !now.Before(until) {
			delete(a.until, id)
		}
	}
	a.until[instance] = now.Add(unreachableTTL)
}

func (a *unreachableSet) has(instance string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.until[instance])
}
