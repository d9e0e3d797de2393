package authority

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/internal/sleep"
)

const (
	// maxRecordAttempts is how often a holder tries to write the outcome of an order to the journal before it leaves
	// the entry to the reconciliation.
	maxRecordAttempts = 3
	// resolveTimeout bounds one attempt to find out the outcome of an order.
	resolveTimeout = time.Minute
)

// Apply gives an order to an engine of the region and waits for its outcome. It sets the order's fencing token, and its
// ID if that is empty. It returns nil when the order has taken effect, or one of the errors of this package. When the
// context ends after the order was sent, Apply still waits for the outcome. An order that loads weights first waits for
// the rate limit of the weight store.
func (h *LeaseHolder) Apply(ctx context.Context, engineID string, order engine.Order) error {
	t, err := h.reserveEngine(engineID)
	if err != nil {
		return err
	}
	defer h.releaseEngine(engineID)
	e, known := h.opts.engine(engineID)
	if !known {
		return errors.Wrap(ErrUnknownEngine, engineID)
	}
	h.stats.orders.Inc(1)
	beforeSend, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(t.ctx, cancel)()
	entry, err := h.prepareEntry(beforeSend, t, e, order.Kind)
	if err != nil {
		return err
	}
	if order.ID == "" {
		order.ID = uuid.NewString()
	}
	order.Fence = t.fence
	if !t.valid() {
		return ErrNotHolder
	}
	entry, err = h.journal.write(beforeSend, entry,
		Record{Engine: e.ID, Order: order, State: StateOutstanding, Gate: entry.Gate})
	if err != nil {
		return errors.Mark(err, ErrSuspended)
	}
	if !t.valid() {
		return ErrNotHolder
	}
	// If this process is paused for longer than its lease between this check and the gate's check, the gate refuses the
	// order.
	applied, err := h.forwardOrder(t.ctx, e, entry.Gate, &order)
	return h.finishOrder(t, e, entry, applied, err)
}

// prepareEntry returns the engine's journal entry with no open order and with a gate that has registered the term's
// fencing token. For an order that loads weights, it also waits for the rate limit.
func (h *LeaseHolder) prepareEntry(
	ctx context.Context, t *term, e config.Engine, kind engine.OrderKind,
) (journalEntry, error) {
	entry, err := h.journal.read(ctx, e.ID)
	if err != nil {
		return entry, errors.Mark(err, ErrSuspended)
	}
	if entry.Open() {
		if entry, err = h.resolve(ctx, t, e, entry); err != nil {
			return entry, errors.Mark(err, ErrBusy)
		}
	}
	if kind == engine.OrderLoadModel || kind == engine.OrderLoadAdapter {
		if err := h.opts.LoadLimiter.Wait(ctx); err != nil {
			return entry, errors.Mark(err, ErrSuspended)
		}
	}
	return h.ensureGate(ctx, t, e, entry)
}

// finishOrder records the outcome of an order that was forwarded, and finds it out first if the gate's response does
// not tell. It returns the result of Apply.
func (h *LeaseHolder) finishOrder(t *term, e config.Engine, entry journalEntry, applied bool, err error) error {
	switch {
	case err == nil && applied:
		h.stats.applied.Inc(1)
		h.recordOutcome(t, entry, StateDone)
		return nil
	case errors.Is(err, ErrRefused), errors.Is(err, ErrSuspended):
		h.stats.refused.Inc(1)
		h.recordOutcome(t, entry, StateAborted)
		return err
	}
	ctx, cancel := context.WithTimeout(t.ctx, resolveTimeout)
	defer cancel()
	entry, resolveErr := h.resolve(ctx, t, e, entry)
	switch {
	case resolveErr != nil:
		h.stats.unresolved.Inc(1)
		return errors.Mark(errors.CombineErrors(resolveErr, err), ErrUnresolved)
	case entry.State == StateAborted:
		return errors.Wrap(ErrAborted, entry.Order.ID)
	}
	h.stats.applied.Inc(1)
	return nil
}

// recordOutcome writes the outcome of an order to the journal. If that fails, the entry stays open and is reconciled.
func (h *LeaseHolder) recordOutcome(t *term, entry journalEntry, state State) {
	record := entry.Record
	record.State = state
	for range maxRecordAttempts {
		if _, err := h.journal.write(t.ctx, entry, record); err == nil || !sleep.For(t.ctx, retryPause) {
			return
		}
	}
}

// suspend logs that orders to an engine are suspended and marks the error with ErrSuspended.
func (h *LeaseHolder) suspend(ctx context.Context, engineID string, err error) error {
	eventSuspended.Log(ctx, h.opts.Logger, slog.String("engine", engineID), slog.Any("error", err))
	return errors.Mark(err, ErrSuspended)
}
