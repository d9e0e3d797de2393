package authority

import (
	"context"
	"sync"
	"time"

	"rhubarbpoint/topo"
)

// term is one holding of a region's authority.
type term struct {
	fence int64
	lease topo.LeaseID
	// ctx ends with the term.
	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	validUntil time.Time
	registered map[string]string // engine to the gate that has this term's number
	announced  map[string]bool   // engines that check and have this term's number
}

func newTerm(fence int64, lease topo.LeaseID, sent time.Time) *term {
	ctx, cancel := context.WithCancel(context.Background())
	return &term{
		fence: fence, lease: lease, ctx: ctx, cancel: cancel, validUntil: sent.Add(leaseTTL),
		registered: make(map[string]string), announced: make(map[string]bool),
	}
}

// extend moves the end of the term. The time is the one before the keep-alive was sent: the store counts the lease from
// a later moment, so this process stops first. time.Time holds a monotonic reading, so steps of the wall clock have no
// effect.
func (t *term) extend(sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until := sent.Add(leaseTTL); until.After(t.validUntil) {
		t.validUntil = until
	}
}

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
