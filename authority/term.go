package authority

import (
	"context"
	"sync"
	"time"

	"rhubarbpoint/topo"
)

// term is a period in which this instance holds a region's authority under one lease and fencing token.
type term struct {
	fence int64
	lease topo.LeaseID
	// ctx is cancelled at the end of the term.
	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	validUntil time.Time
	registered map[string]string // by engine, the gate that has registered this term's fencing token
	announced  map[string]bool   // engines that check fencing tokens and have this term's
}

func newTerm(fence int64, lease topo.LeaseID, sent time.Time) *term {
	ctx, cancel := context.WithCancel(context.Background())
	return &term{
		fence: fence, lease: lease, ctx: ctx, cancel: cancel, validUntil: sent.Add(leaseTTL),
		registered: make(map[string]string), announced: make(map[string]bool),
	}
}

// extend moves the end of the term after a keep-alive. sent is the time before the keep-alive was sent: the store
// counts the lease from a later moment, so this process stops before the lease expires. time.Time holds a monotonic
// reading, so steps of the wall clock have no effect.
func (t *term) extend(sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until := sent.Add(leaseTTL); until.After(t.validUntil) {
		t.validUntil = until
	}
}

// until returns the time at which the term ends without another keep-alive.
func (t *term) until() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.validUntil
}

func (t *term) valid() bool { return t.ctx.Err() == nil && time.Now().Before(t.until()) }

func (t *term) isRegistered(engineID, gate string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return gate != "" && t.registered[engineID] == gate
}

func (t *term) setRegistered(engineID, gate string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registered[engineID] = gate
}

func (t *term) isAnnounced(engineID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.announced[engineID]
}

func (t *term) setAnnounced(engineID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announced[engineID] = true
}
