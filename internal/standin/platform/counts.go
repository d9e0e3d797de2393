package platform

import (
	"maps"
	"sync"

	"rhubarbpoint/topo"
)

// counts counts calls by kind. It is safe for concurrent use.
type counts struct {
	mu sync.Mutex
	n  map[topo.Op]int64
}

func newCounts() *counts { return &counts{n: make(map[topo.Op]int64)} }

func (c *counts) add(op topo.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[op]++
}

func (c *counts) all() map[topo.Op]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.n)
}
