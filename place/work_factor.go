package place

import (
	"time"

	"rhubarbpoint/upstream"
)

// WorkFactor returns how long work takes at a replica at this moment, relative to the mean of its service: 1 as usual.
// For services whose replicas do not report a factor it is 1.
func (b *Balancer) WorkFactor(now time.Time, r *upstream.Replica) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slowness(now, r)
}

// Uneven reports whether replicas of a service have reported a momentary factor, which says that they share their
// machines with others.
func (b *Balancer) Uneven(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats(service).speeds != nil
}
