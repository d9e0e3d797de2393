package platform

import (
	"maps"
	"sync"

	"rhubarbpoint/topo"
)

// callCounts counts calls by operation. It is safe for concurrent use.
type callCounts struct {
	mu sync.Mutex
	n  map[topo.Op]int64
}

func newCallCounts() *callCounts { return &callCounts{n: make(map[topo.Op]int64)} }

func (c *callCounts) add(op topo.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[op]++
}

func (c *callCounts) all() map[topo.Op]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.n)
}
