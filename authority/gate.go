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
	// registerWait is how long a RegisterFence call waits for an order in flight; it is below the timeout of peer calls.
	registerWait = 2 * time.Second
	// orderTimeout bounds an order at an engine. It is independent of the caller, so that an order in flight is not
	// interrupted by a holder that stops.
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

// NewGate returns a gate.
func NewGate(opts Options) *Gate {
	opts = opts.withDefaults()
	return &Gate{
		opts: opts, stats: newStats(opts.Metrics), journal: journal{opts.Store}, engines: make(map[string]*gatedEngine),
	}
}

// gatedEngine is what a gate knows of an engine. Whoever has the turn may read and write fence.
type gatedEngine struct {
	turn  chan struct{} // holds one element while an order is in flight
	fence int64         // highest number registered or used
}

// enter waits for the engine's turn.
func (g *Gate) enter(ctx context.Context, engineID string) (*gatedEngine, error) {
	g.mu.Lock()
	e := g.engines[engineID]
	if e == nil {
		e = &gatedEngine{turn: make(chan struct{}, 1)}
		g.engines[engineID] = e
	}
	g.mu.Unlock()
	select {
	case e.turn <- struct{}{}:
		return e, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (e *gatedEngine) leave() { <-e.turn }

// register sets an engine's fencing number once no order is in flight.
func (g *Gate) register(ctx context.Context, engineID string, fence int64) error {
	ctx, cancel := context.WithTimeout(ctx, registerWait)
	defer cancel()
	e, err := g.enter(ctx, engineID)
	if err != nil {
		return newGateError(codeBusy, err)
	}
	defer e.leave()
	switch {
	case g.isStopping():
		// No order is in flight and none will be sent: this is a hand-over, too.
		return newGateError(codeStopping, nil)
	case fence < e.fence:
		return newGateError(codeStaleFence, nil)
	}
	e.fence = fence
	return nil
}

// forward checks an order and sends it.
func (g *Gate) forward(ctx context.Context, order *peerpb.ForwardOrder) (*engine.OrderResult, error) {
	wait, cancel := context.WithTimeout(ctx, registerWait)
	defer cancel()
	e, err := g.enter(wait, order.GetEngine())
	if err != nil {
		return nil, newGateError(codeBusy, err)
	}
	defer e.leave()
	if order.GetFence() < e.fence {
		return nil, newGateError(codeStaleFence, nil)
	}
	if err := g.check(ctx, order); err != nil {
		return nil, err
	}
	// From here to the engine, a pause of this process can outlast the holder's lease; see the package comment.
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

// check asks the store whether the order's holder still has the authority and whether exactly this order is
// outstanding through this gate. The journal refuses an order that arrives after its holder has given it up.
func (g *Gate) check(ctx context.Context, order *peerpb.ForwardOrder) error {
	if g.isStopping() {
		return newGateError(codeStopping, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := g.journal.read(ctx, order.GetEngine())
	if err != nil {
		return newGateError(codeUnavailable, err)
	}
	expected := entry.State == StateOutstanding && entry.Order.ID == order.GetOrderId() && entry.Order.Fence == order.GetFence()
	if entry.Gate != g.opts.View.Self() || !expected {
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

// Stop refuses further orders, waits for those in flight, and gives up the engines in the journal, so that their holder
// can choose another gate at once. It returns the first error; an engine that is not given up gets another gate when
// the instance list no longer shows this process.
func (g *Gate) Stop(ctx context.Context) error {
	g.mu.Lock()
	g.stopping = true
	var ids []string
	for id := range g.engines {
		ids = append(ids, id)
	}
	g.mu.Unlock()
	var failed error
	for _, id := range ids {
		if err := g.handOver(ctx, id); err != nil {
			failed = errors.CombineErrors(failed, err)
		}
	}
	if len(ids) > 0 {
		eventHandedOver.Log(ctx, g.opts.Logger)
	}
	return failed
}

func (g *Gate) handOver(ctx context.Context, id string) error {
	e, err := g.enter(ctx, id)
	if err != nil {
		return errors.Wrapf(err, "authority: hand over %s", id)
	}
	defer e.leave()
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
			return errors.Wrapf(err, "authority: hand over %s", id)
		}
	}
}
