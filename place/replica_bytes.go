package place

import (
	"time"

	"rhubarbpoint/upstream"
)

// collectedWait is the time after which a replica is considered again that has collected too many bytes.
const collectedWait = 100 * time.Millisecond

// collectsTooMuch decides whether a replica gets no further request because this instance holds bytes of bodies for it
// that it does not work on. It answers a replica that has become slow or reads slowly while bodies for it arrive at the
// usual rate: bounded are the bytes of a replica that has more requests of this instance in flight than it has slots
// and reports as waiting. A replica that works on all of them is not bounded, however large they are.
func collectsTooMuch(bytes, limit int64, inFlight, slots, waiting int) bool {
	return limit > 0 && bytes >= limit && inFlight > slots+waiting
}

// RecordBody records that n more bytes of request bodies are in flight to a replica, or fewer if n is negative.
func (b *Balancer) RecordBody(replica *upstream.Replica, n int) {
	if b.opts.MaxReplicaBytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(replica.Incarnation()).bodyBytes += int64(n)
}

// collected reports whether a replica has collected too many bytes.
func (b *Balancer) collected(r *upstream.Replica, state *replicaState) bool {
	return collectsTooMuch(state.bodyBytes, b.opts.MaxReplicaBytes, state.inFlight, firstPositive(state.slots, r.Slots, defaultSlots), state.waiting)
}
