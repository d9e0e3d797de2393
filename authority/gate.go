package authority

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
)

const (
	// registerWait is how long a RegisterFence or ForwardOrder call waits for an order in flight. It is below the
	// timeout of peer calls.
	registerWait = 2 * time.Second
	// orderTimeout bounds the call that sends an order to an engine. It doesn't depend on the holder's call, so that a
	// holder that stops doesn't interrupt an order in flight.
	orderTimeout = 30 * time.Second
)

// Gate sends orders to the engines whose journal entries name this instance. It is safe for concurrent use.
type Gate struct {
	opts    Options
	stats   *stats
	journal journal

	mu       sync.Mutex
	engines  map[string]*gatedEngine
	stopping bool
}

// NewGate returns a gate without registered engines.
func NewGate(opts Options) *Gate {
	opts = opts.withDefaults()
	return &Gate{
		opts: opts, stats: newStats(opts.Metrics), journal: journal{opts.Store}, engines: make(map[string]*gatedEngine),
	}
}

// gatedEngine is the state of an engine at its gate. lock guards fence and allows one order at a time.
type gatedEngine struct {
	lock  chan struct{} // holds one element while locked
	fence int64         // highest fencing token registered or used
}

// lockEngine locks an engine, or returns the context's error.
func (g *Gate) lockEngine(ctx context.Context, engineID string) (*gatedEngine, error) {
	g.mu.Lock()
	e := g.engines[engineID]
	if e == nil {
		e = &gatedEngine{lock: make(chan struct{}, 1)}
		g.engines[engineID] = e
	}
	g.mu.Unlock()
	select {
	case e.lock <- struct{}{}:
		return e, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (e *gatedEngine) unlock() { <-e.lock }

// registerFence sets an engine's fencing token once no order is in flight.
func (g *Gate) registerFence(ctx context.Context, engineID string, fence int64) error {
	ctx, cancel := context.WithTimeout(ctx, registerWait)
	defer cancel()
	e, err := g.lockEngine(ctx, engineID)
	if err != nil {
		return newGateError(codeBusy, err)
	}
	defer e.unlock()
	switch {
	case g.isStopping():
		// No order is in flight and none will be sent, so the engine is handed over.
		return newGateError(codeStopping, nil)
	case fence < e.fence:
		return newGateError(codeStaleFence, nil)
	}
	e.fence = fence
	return nil
}

// forwardOrder checks an order and sends it.
func (g *Gate) forwardOrder(ctx context.Context, order *peerpb.ForwardOrder) (*engine.OrderResult, error) {
	wait, cancel := context.WithTimeout(ctx, registerWait)
	defer cancel()
	e, err := g.lockEngine(wait, order.GetEngine())
	if err != nil {
		return nil, newGateError(codeBusy, err)
	}
	defer e.unlock()
	if order.GetFence() < e.fence {
		return nil, newGateError(codeStaleFence, nil)
	}
	if err := g.checkOrder(ctx, order); err != nil {
		return nil, err
	}
	// Between this check and the send, this process may be paused for longer than the holder's lease; see the package
	// comment.
	e.fence = order.GetFence()
	g.stats.gateSent.Inc(1)
	send, cancelSend := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancelSend()
	result, err := g.opts.Engines.Order(send, order.GetAddress(), orderFromMessage(order))
	switch {
	case err == nil:
		return result, nil
	case refusedByEngine(err):
		return nil, newGateError(codeRefused, err)
	}
	return nil, newGateError(codeUnknown, err)
}

// checkOrder reads from the store whether the order's holder still has the authority and whether exactly this order is
// outstanding through this gate. An order that arrives after its holder has given it up is no longer outstanding in the
// journal, so it is refused.
func (g *Gate) checkOrder(ctx context.Context, order *peerpb.ForwardOrder) error {
	if g.isStopping() {
		return newGateError(codeStopping, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := g.journal.read(ctx, order.GetEngine())
	if err != nil {
		return newGateError(codeUnavailable, err)
	}
	outstanding := entry.State == StateOutstanding && entry.Order.ID == order.GetOrderId() &&
		entry.Order.Fence == order.GetFence()
	if entry.Gate != g.opts.View.Self() || !outstanding {
		return newGateError(codeNotOutstanding, nil)
	}
	authority, err := g.opts.Store.Get(ctx, authorityKey(g.opts.Region))
	switch {
	case errors.Is(err, topo.ErrNotFound):
		return newGateError(codeStaleFence, err)
	case err != nil:
		return newGateError(codeUnavailable, err)
	case authority.Created != order.GetFence():
		return newGateError(codeStaleFence, nil)
	}
	return nil
}

func (g *Gate) isStopping() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopping
}

// Stop refuses further orders, waits for those in flight, and removes this gate from the journal entries of its
// engines, so that their holder can choose another gate at once. It returns the first error, with later ones attached.
// An engine that could not be handed over gets another gate when the instance list no longer shows this process.
func (g *Gate) Stop(ctx context.Context) error {
	g.mu.Lock()
	g.stopping = true
	var ids []string
	for id := range g.engines {
		ids = append(ids, id)
	}
	g.mu.Unlock()
	var combined error
	for _, id := range ids {
		if err := g.handOver(ctx, id); err != nil {
			combined = errors.CombineErrors(combined, err)
		}
	}
	if len(ids) > 0 {
		eventHandedOver.Log(ctx, g.opts.Logger)
	}
	return combined
}

// handOver removes this gate from an engine's journal entry. It tries again until it succeeds or the context ends.
func (g *Gate) handOver(ctx context.Context, id string) error {
	e, err := g.lockEngine(ctx, id)
	if err != nil {
		return errors.Wrapf(err, "authority: hand over engine %s", id)
	}
	defer e.unlock()
	for {
		entry, err := g.journal.read(ctx, id)
		if err == nil {
			if entry.Gate != g.opts.View.Self() {
				return nil
			}
			record := entry.Record
			record.Gate = ""
			if _, err = g.journal.write(ctx, entry, record); err == nil {
				return nil
			}
		}
		if !sleep.For(ctx, retryPause) {
			return errors.Wrapf(err, "authority: hand over engine %s", id)
		}
	}
}
