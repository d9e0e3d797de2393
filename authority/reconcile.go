package authority

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
	"rhubarbpoint/internal/sleep"
)

const (
	// settleTime is how long an engine must answer and show no trace of an order whose connection broke before the
	// order counts as lost.
	settleTime = 5 * time.Second
	// settlePoll and stateTimeout make sure that the engine was not paused meanwhile.
	settlePoll   = 500 * time.Millisecond
	stateTimeout = 500 * time.Millisecond
	// reconcileWorkers bounds the engines that are reconciled at the same time.
	reconcileWorkers = 8
)

// reconcileLoop registers the term's number with the gates and resolves open entries, at the start of the term and
// every reconcileEvery, until the term ends.
func (h *Holder) reconcileLoop(t *term) {
	for {
		h.reconcile(t)
		if !sleep.For(t.ctx, reconcileEvery) {
			return
		}
	}
}

func (h *Holder) reconcile(t *term) {
	entries, err := h.journal.list(t.ctx)
	if err != nil {
		return // tried again at the next interval
	}
	slots := make(chan struct{}, reconcileWorkers)
	var working sync.WaitGroup
	for _, entry := range entries {
		e, known := h.opts.engine(entry.Engine)
		if !known || !entry.Open() && t.isRegistered(e.ID, entry.Gate) {
			continue
		}
		slots <- struct{}{}
		working.Go(func() {
			defer func() { <-slots }()
			h.reconcileEngine(t, e)
		})
	}
	working.Wait()
}

// reconcileEngine does nothing while an order for the engine is in work.
func (h *Holder) reconcileEngine(t *term, e config.Engine) {
	current, err := h.begin(e.ID)
	if err != nil {
		return
	}
	defer h.end(e.ID)
	ctx, cancel := context.WithTimeout(current.ctx, resolveTimeout)
	defer cancel()
	entry, err := h.journal.read(ctx, e.ID)
	if err != nil {
		return
	}
	// The number takes effect at the engine also while the gate does not answer. ensureGate insists on it.
	_ = h.announce(ctx, t, e)
	if entry.Open() {
		if entry, err = h.resolve(ctx, t, e, entry); err != nil {
			return
		}
	}
	// Failures are tried again at the next interval and by each order.
	_, _ = h.ensureGate(ctx, t, e, entry)
}

// resolve finds out what became of an open order. First the journal stops the gate from sending it, then the gate
// confirms that it is not in flight, or is gone; only then the engine's state is final.
func (h *Holder) resolve(ctx context.Context, t *term, e config.Engine, entry journalEntry) (journalEntry, error) {
	if !t.valid() {
		return entry, ErrNotHolder
	}
	record := entry.Record
	if record.State == StateOutstanding {
		record.State = StateResolving
		written, err := h.journal.write(ctx, entry, record)
		if err != nil {
			return entry, err
		}
		entry = written
	}
	if err := h.register(ctx, t, e.ID, entry.Gate); err != nil && !errors.Is(err, errHandedOver) {
		return entry, h.suspend(ctx, e.ID, err)
	}
	applied, err := h.settled(ctx, e.Address, entry.Order.ID)
	if err != nil {
		return entry, err
	}
	record.State = StateAborted
	if applied {
		record.State = StateDone
	}
	if !t.valid() {
		return entry, ErrNotHolder
	}
	written, err := h.journal.write(ctx, entry, record)
	if err != nil {
		return entry, err
	}
	h.stats.resolved.Inc(1)
	eventResolved.Log(ctx, h.opts.Logger, slog.String("engine", e.ID), slog.String("order", entry.Order.ID),
		slog.String("state", string(record.State)))
	return written, nil
}

// settled says whether an order has taken effect. It waits while the engine changes, and until the engine has answered
// without interruption for settleTime.
func (h *Holder) settled(ctx context.Context, address, orderID string) (bool, error) {
	started := time.Now()
	for {
		call, cancel := context.WithTimeout(ctx, stateTimeout)
		state, err := h.opts.Engines.State(call, address)
		cancel()
		switch {
		case err != nil:
			return false, errors.Wrap(err, "authority: engine state")
		case state.Changing != "":
			started = time.Now()
		case state.LastOrderID == orderID:
			return true, nil
		case time.Since(started) >= settleTime:
			return false, nil
		}
		if !sleep.For(ctx, settlePoll) {
			return false, ctx.Err()
		}
	}
}
