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
	// settleTime is how long an engine must answer without showing an order whose connection broke before the order
	// counts as not applied.
	settleTime = 5 * time.Second
	// settlePollInterval and stateTimeout are short against settleTime, so that an engine that was paused meanwhile is
	// noticed.
	settlePollInterval = 500 * time.Millisecond
	stateTimeout       = 500 * time.Millisecond
	// maxConcurrentReconciliations bounds the number of engines that are reconciled at the same time.
	maxConcurrentReconciliations = 8
)

// reconcileLoop calls reconcile at the start of the term and then every reconcileInterval until the term ends.
func (h *LeaseHolder) reconcileLoop(t *term) {
	for {
		h.reconcile(t)
		if !sleep.For(t.ctx, reconcileInterval) {
			return
		}
	}
}

// reconcile registers the term's fencing token with the gates that lack it and resolves open journal entries.
func (h *LeaseHolder) reconcile(t *term) {
	entries, err := h.journal.list(t.ctx)
	if err != nil {
		return // retried at the next interval
	}
	semaphore := make(chan struct{}, maxConcurrentReconciliations)
	var workers sync.WaitGroup
	for _, entry := range entries {
		e, known := h.opts.engine(entry.Engine)
		if !known || !entry.Open() && t.isRegistered(e.ID, entry.Gate) {
			continue
		}
		semaphore <- struct{}{}
		workers.Go(func() {
			defer func() { <-semaphore }()
			h.reconcileEngine(t, e)
		})
	}
	workers.Wait()
}

// reconcileEngine resolves an engine's open order and makes sure that its gate has the term's fencing token. It does
// nothing while an order for the engine is in progress.
func (h *LeaseHolder) reconcileEngine(t *term, e config.Engine) {
	current, err := h.reserveEngine(e.ID)
	if err != nil {
		return
	}
	defer h.releaseEngine(e.ID)
	ctx, cancel := context.WithTimeout(current.ctx, resolveTimeout)
	defer cancel()
	entry, err := h.journal.read(ctx, e.ID)
	if err != nil {
		return
	}
	// The fencing token takes effect at the engine even while the gate does not answer. ensureGate tries again if this
	// fails.
	_ = h.announceFence(ctx, t, e)
	if entry.Open() {
		if entry, err = h.resolve(ctx, t, e, entry); err != nil {
			return
		}
	}
	// Failures are retried at the next interval and by each order.
	_, _ = h.ensureGate(ctx, t, e, entry)
}

// resolve finds out the outcome of an open order and records it. First it writes StateResolving to the journal, so that
// the gate does not send the order any more. Then the gate confirms that the order is not in flight, or turns out to
// have ended. Only after that does the engine's state show the final outcome.
func (h *LeaseHolder) resolve(ctx context.Context, t *term, e config.Engine, entry journalEntry) (journalEntry, error) {
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
	if err := h.registerFence(ctx, t, e.ID, entry.Gate); err != nil && !errors.Is(err, errHandedOver) {
		return entry, h.suspend(ctx, e.ID, err)
	}
	applied, err := h.awaitOutcome(ctx, e.Address, entry.Order.ID)
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

// awaitOutcome reports whether an order has taken effect. It waits while the engine is changing. The order has had no
// effect if the engine then answers for settleTime without showing it.
func (h *LeaseHolder) awaitOutcome(ctx context.Context, address, orderID string) (bool, error) {
	idleSince := time.Now()
	for {
		call, cancel := context.WithTimeout(ctx, stateTimeout)
		state, err := h.opts.Engines.State(call, address)
		cancel()
		switch {
		case err != nil:
			return false, errors.Wrapf(err, "authority: read state of engine at %s", address)
		case state.Changing != "":
			idleSince = time.Now()
		case state.LastOrderID == orderID:
			return true, nil
		case time.Since(idleSince) >= settleTime:
			return false, nil
		}
		if !sleep.For(ctx, settlePollInterval) {
			return false, ctx.Err()
		}
	}
}
