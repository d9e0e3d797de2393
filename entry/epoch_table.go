package entry

import "sync"

// epochTable holds the last start epoch seen of each engine. It is safe for concurrent use.
type epochTable struct {
	mu   sync.Mutex
	byID map[string]string
}

func (t *epochTable) get(engineID string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[engineID]
}

func (t *epochTable) set(engineID, epoch string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = make(map[string]string)
	}
	t.byID[engineID] = epoch
}
