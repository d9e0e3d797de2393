package claim

import (
	"sync"
	"time"
)

// avoidTime is how long a writer that did not answer is not asked again. Membership drops it after 15 s.
const avoidTime = 3 * time.Second

// avoided holds the writers that did not answer. It is safe for concurrent use.
type avoided struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newAvoided() *avoided { return &avoided{until: make(map[string]time.Time)} }

func (a *avoided) add(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for id, until := range a.until {
		if !now.Before(until) {
			delete(a.until, id)
		}
	}
	a.until[instance] = now.Add(avoidTime)
}

func (a *avoided) has(instance string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.until[instance])
}
