package authority

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rhubarbpoint/engine"
)

// fakeEngine runs orders that take some time, and notes what must never happen.
type fakeEngine struct {
	world  *world
	checks bool

	mu       sync.Mutex
	epoch    int
	resumes  time.Time
	fence    int64 // highest seen, if the engine checks
	newest   int64 // fence of the last order that took effect
	changing string
	last     string
	effects  []string
}

// deliver runs a call in the engine once it is not paused, also when the client has given up by then. A crash meanwhile
// loses the call.
func (e *fakeEngine) deliver(ctx context.Context, run func() error) error {
	e.mu.Lock()
	epoch, wait := e.epoch, time.Until(e.resumes)
	e.mu.Unlock()
	result := make(chan error, 1)
	go func() {
		time.Sleep(max(wait, time.Millisecond))
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.epoch != epoch {
			result <- engine.ErrBroken
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
	return engine.ErrBroken
}

// accept starts an order. The caller holds the lock.
func (e *fakeEngine) accept(p *proc, o *engine.Order, takes time.Duration) error {
	if e.checks && o.Fence < e.fence {
		return engine.ErrStaleFence
	}
	e.fence = max(e.fence, o.Fence)
	if o.Kind == engine.OrderFence {
		return nil
	}
	switch {
	case e.changing != "":
		e.world.fault("%s arrived while %s was in progress", o.ID, e.changing)
	case o.Fence < e.newest:
		e.world.fault("%s of fence %d took effect after fence %d", o.ID, o.Fence, e.newest)
	case e.world.hasFailed(o.ID) != nil:
		e.world.fault("%s took effect after Apply returned %v", o.ID, e.world.hasFailed(o.ID))
	case !e.world.wasChecked(p, o):
		e.world.fault("%s took effect without a check that fence %d held", o.ID, o.Fence)
	}
	e.changing, e.newest = o.ID, o.Fence
	e.effects = append(e.effects, o.ID)
	epoch := e.epoch
	go func() {
		time.Sleep(takes)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.epoch == epoch {
			e.last, e.changing = o.ID, ""
		}
	}()
	return nil
}

// crash loses all that the engine knows, halfway through a change or not.
func (e *fakeEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch++
	e.fence, e.changing, e.last = 0, "", ""
}

// pause does not shorten a pause: a call that waits for its end would otherwise arrive after the engine has resumed.
func (e *fakeEngine) pause(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if resumes := time.Now().Add(d); resumes.After(e.resumes) {
		e.resumes = resumes
	}
}

func (e *fakeEngine) ran() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.effects...)
}

// procEngines is the engine client of one process.
type procEngines struct {
	engine.Client
	proc *proc
}

func (c procEngines) State(ctx context.Context, addr string) (*engine.State, error) {
	if !c.proc.step() {
		return nil, engine.ErrBroken
	}
	e := c.proc.world.engines[addr]
	var state engine.State
	err := e.deliver(ctx, func() error {
		state = engine.State{Epoch: fmt.Sprint(e.epoch), LastOrderID: e.last, Changing: e.changing}
		return nil
	})
	if err != nil || !c.proc.step() {
		return nil, engine.ErrBroken
	}
	return &state, nil
}

func (c procEngines) Order(ctx context.Context, addr string, o *engine.Order) (*engine.OrderResult, error) {
	w, e := c.proc.world, c.proc.world.engines[addr]
	if o.Kind != engine.OrderFence {
		w.hook("order", c.proc, o.ID)
	}
	if !c.proc.step() {
		return nil, engine.ErrBroken
	}
	bad, kind, takes := w.chance(8 * time.Second)
	if bad && kind < 0.3 {
		return nil, engine.ErrNotSent
	}
	err := e.deliver(ctx, func() error { return e.accept(c.proc, o, takes) })
	switch {
	case !c.proc.step(), bad:
		return nil, engine.ErrBroken
	case err != nil:
		return nil, err
	}
	return &engine.OrderResult{OrderID: o.ID, Applied: o.Kind == engine.OrderFence}, nil
}
