package demo

import (
	"context"
	"sync"
	"time"

	"rhubarbpoint/internal/fleet"
)

// balancerInterval is the time between two readiness checks of the instances, and thus how old their results get.
const balancerInterval = 500 * time.Millisecond

// balancer stands in for the platform's load balancer: it distributes requests round-robin over the entry instances
// that were ready at the last check. It is safe for concurrent use.
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

// pick returns the address of the caller listener of the next instance.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.ready[b.next%len(b.ready)].Address
}
