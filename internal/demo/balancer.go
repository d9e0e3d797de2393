package demo

import (
	"context"
	"sync"
	"time"

	"rhubarbpoint/internal/fleet"
)

// balancerInterval is how often the balancer asks whether instances are ready, and so how far it lags.
const balancerInterval = 500 * time.Millisecond

// balancer stands in for the platform's balancer: it spreads requests over the entry instances that were ready when it
// last asked. It is safe for concurrent use.
type balancer struct {
	fleet *fleet.Fleet

	mu    sync.Mutex
	ready []*fleet.Node
	next  int
}

func newBalancer(f *fleet.Fleet) *balancer { return &balancer{fleet: f, ready: f.Entries} }

// run refreshes the list until the context ends.
func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(balancerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.refresh()
		}
	}
}

func (b *balancer) refresh() {
	var ready []*fleet.Node
	for _, n := range b.fleet.Entries {
		if b.fleet.Ready(n) {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// pick returns the caller listener of the next instance.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.ready[b.next%len(b.ready)].Address
}
