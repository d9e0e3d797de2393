package entry

import "sync"

// epochTable holds the hash of each engine's start epoch that was seen last. It is safe for concurrent use.
type epochTable struct {
	mu   sync.Mutex
	byID map[string]uint64
}

func (t *epochTable) get(engineID string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[engineID]
}

func (t *epochTable) set(engineID string, epoch uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = make(map[string]uint64)
	}
	t.byID[engineID] = epoch
}
