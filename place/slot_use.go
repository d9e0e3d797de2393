package place

import (
	"time"

	"rhubarbpoint/upstream"
)

// SlotUse returns the estimated part of the slots of some replicas of a plain service that is in use, with the queued
// requests, so it can exceed 1. It returns 1 without replicas.
func (b *Balancer) SlotUse(now time.Time, replicas []*upstream.Replica) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	requests, slots := 0.0, 0
	for _, r := range replicas {
		state := b.state(r.Incarnation())
		requests += state.requests(now)
		slots += firstPositive(state.slots, r.Slots, defaultSlots)
	}
	if slots == 0 {
		return 1
	}
	return requests / float64(slots)
}
