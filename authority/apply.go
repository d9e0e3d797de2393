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
	// recordTries is how often the end of an order is written to the journal before it is left to the reconciliation.
	recordTries = 3
	// resolveTimeout bounds one attempt to find out what became of an order.
	resolveTimeout = time.Minute
)

// Apply gives an order to an engine of the region and waits for its end. It sets the order's fence, and its ID if it is
// empty. It returns nil when the order has taken effect, or one of the errors of this package. When the context ends
// after the order was sent, Apply still waits for its end. An order that loads weights first waits for the limit of the
// weight store.
func (h *Holder) Apply(ctx context.Context, engineID string, order engine.Order) error {
	t, err := h.begin(engineID)
	if err != nil {
		return err
	}
	defer h.end(engineID)
	e, known := h.opts.engine(engineID)
	if !known {
		return errors.Wrap(ErrUnknownEngine, engineID)
	}
	h.stats.orders.Inc(1)
	before, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(t.ctx, cancel)()
	entry, err := h.prepare(before, t, e, order.Kind)
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
	entry, err = h.journal.write(before, entry, Record{Engine: e.ID, Order: order, State: StateOutstanding, Gate: entry.Gate})
	if err != nil {
		return errors.Mark(err, ErrSuspended)
	}
	if !t.valid() {
		return ErrNotHolder
	}
	// A pause of this process between this check and the gate's own check makes the gate refuse the order.
	result, err := h.forward(t.ctx, e, entry.Gate, &order)
	return h.conclude(t, e, entry, result, err)
}

// prepare returns the engine's entry with no open order and with a gate that knows the term's number.
func (h *Holder) prepare(ctx context.Context, t *term, e config.Engine, kind engine.OrderKind) (journalEntry, error) {
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

// conclude records the end of an order that was forwarded.
func (h *Holder) conclude(t *term, e config.Engine, entry journalEntry, applied bool, err error) error {
	switch {
	case err == nil && applied:
		h.stats.applied.Inc(1)
		h.record(t, entry, StateDone)
		return nil
	case errors.Is(err, ErrRefused), errors.Is(err, ErrSuspended):
		h.stats.refused.Inc(1)
		h.record(t, entry, StateAborted)
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

// record writes the end of an order. If that fails, the entry stays open and is reconciled.
func (h *Holder) record(t *term, entry journalEntry, state State) {
	record := entry.Record
	record.State = state
	for range recordTries {
		if _, err := h.journal.write(t.ctx, entry, record); err == nil || !sleep.For(t.ctx, retryPause) {
			return
		}
	}
}

func (h *Holder) suspend(ctx context.Context, engineID string, err error) error {
	eventSuspended.Log(ctx, h.opts.Logger, slog.String("engine", engineID), slog.Any("error", err))
	return errors.Mark(err, ErrSuspended)
}
