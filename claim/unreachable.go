package claim

import (
	"sync"
	"time"
)

// unreachableTTL is how long a writer that did not respond is not called again. Membership drops a dead one after 15 s.
const unreachableTTL = 3 * time.Second

// unreachableSet holds the writers whose last call, within unreachableTTL, got no response or found them stopping. It
// is safe for concurrent use.
type unreachableSet struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newUnreachableSet() *unreachableSet { return &unreachableSet{until: make(map[string]time.Time)} }

func (s *unreachableSet) add(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, until := range s.until {
		if !now.Before(until) {
			delete(s.until, id)
		}
	}
	s.until[instance] = now.Add(unreachableTTL)
}

func (s *unreachableSet) has(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.until[instance])
}
