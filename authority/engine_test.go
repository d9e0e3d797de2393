package authority

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rhubarbpoint/engine"
)

// fakeEngine runs orders that take some time, and records violations of the package's guarantees.
type fakeEngine struct {
	cluster     *cluster
	checksFence bool

	mu              sync.Mutex
	epoch           int // counts crashes
	pausedUntil     time.Time
	highestFence    int64    // highest fencing token seen
	lastFence       int64    // fencing token of the last order that took effect
	changing        string   // ID of the order in progress
	lastOrder       string   // ID of the last finished order
	effectiveOrders []string // IDs of the orders that took effect
}

// deliver runs a call in the engine once the engine is not paused, even if the client has given up by then. A crash in
// the meantime loses the call.
func (e *fakeEngine) deliver(ctx context.Context, run func() error) error {
	e.mu.Lock()
	epoch, wait := e.epoch, time.Until(e.pausedUntil)
	e.mu.Unlock()
	result := make(chan error, 1)
	go func() {
		time.Sleep(max(wait, time.Millisecond))
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.epoch != epoch {
			result <- engine.ErrConnectionBroken
			return
		}
		result <- run()
	}()
	select {
	case err := <-result:
		return err
	case <-time.After(3 * time.Second):
	case <-ctx.Done():
	}
	return engine.ErrConnectionBroken
}

// accept starts an order that p sent and records a violation if it must not take effect. The caller holds the lock.
func (e *fakeEngine) accept(p *process, o *engine.Order, takes time.Duration) error {
	if e.checksFence && o.Fence < e.highestFence {
		return engine.ErrStaleFence
	}
	e.highestFence = max(e.highestFence, o.Fence)
	if o.Kind == engine.OrderFence {
		return nil
	}
	switch {
	case e.changing != "":
		e.cluster.addViolation("%s arrived while %s was in progress", o.ID, e.changing)
	case o.Fence < e.lastFence:
		e.cluster.addViolation("%s with fencing token %d took effect after token %d", o.ID, o.Fence, e.lastFence)
	case e.cluster.orderFailure(o.ID) != nil:
		e.cluster.addViolation("%s took effect after Apply returned %v", o.ID, e.cluster.orderFailure(o.ID))
	case !e.cluster.fenceWasChecked(p, o):
		e.cluster.addViolation("%s took effect although its gate had not checked fencing token %d", o.ID, o.Fence)
	}
	e.changing, e.lastFence = o.ID, o.Fence
	e.effectiveOrders = append(e.effectiveOrders, o.ID)
	epoch := e.epoch
	go func() {
		time.Sleep(takes)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.epoch == epoch {
			e.lastOrder, e.changing = o.ID, ""
		}
	}()
	return nil
}

// crash resets the engine's state. It also interrupts a change in progress.
func (e *fakeEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch++
	e.highestFence, e.changing, e.lastOrder = 0, "", ""
}

// pause pauses the engine. It doesn't shorten a pause in progress: a call that waits for that pause to end would
// otherwise arrive only after the engine has resumed.
func (e *fakeEngine) pause(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if resumes := time.Now().Add(d); resumes.After(e.pausedUntil) {
		e.pausedUntil = resumes
	}
}

// ordersRun returns the IDs of the orders that took effect, in their order.
func (e *fakeEngine) ordersRun() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.effectiveOrders...)
}

// processEngines is the engine client of one process.
type processEngines struct {
	engine.Client
	process *process
}

func (client processEngines) State(ctx context.Context, addr string) (*engine.State, error) {
	if !client.process.waitWhilePaused() {
		return nil, engine.ErrConnectionBroken
	}
	e := client.process.cluster.engines[addr]
	var state engine.State
	err := e.deliver(ctx, func() error {
		state = engine.State{Epoch: fmt.Sprint(e.epoch), LastOrderID: e.lastOrder, Changing: e.changing}
		return nil
	})
	if err != nil || !client.process.waitWhilePaused() {
		return nil, engine.ErrConnectionBroken
	}
	return &state, nil
}

func (client processEngines) Order(ctx context.Context, addr string, o *engine.Order) (*engine.OrderResult, error) {
	c, e := client.process.cluster, client.process.cluster.engines[addr]
	if o.Kind != engine.OrderFence {
		c.beforeCall("order", client.process, o.ID)
	}
	if !client.process.waitWhilePaused() {
		return nil, engine.ErrConnectionBroken
	}
	faulty, kind, takes := c.drawFault(8 * time.Second)
	if faulty && kind < 0.3 {
		return nil, engine.ErrNotSent
	}
	err := e.deliver(ctx, func() error { return e.accept(client.process, o, takes) })
	switch {
	case !client.process.waitWhilePaused(), faulty:
		return nil, engine.ErrConnectionBroken
	case err != nil:
		return nil, err
	}
	return &engine.OrderResult{OrderID: o.ID, Applied: o.Kind == engine.OrderFence}, nil
}
