package authority

import (
	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
	"rhubarbpoint/peer"
)

// Errors of orders, to be tested with errors.Is.
var (
	// ErrNotHolder means that this instance is not the region's holder. The order was not sent.
	ErrNotHolder = errors.New("authority: not the holder of the region")
	// ErrUnknownEngine means that the configuration has no such engine in this region. The order was not sent.
	ErrUnknownEngine = errors.New("authority: unknown engine")
	// ErrBusy means that another order for the engine is not finished. The order was not sent.
	ErrBusy = errors.New("authority: another order is outstanding")
	// ErrSuspended means that the engine's gate neither answers nor is gone, that no instance can be its gate, or that
	// the store does not answer. The order was not sent.
	ErrSuspended = errors.New("authority: orders to the engine are suspended")
	// ErrRefused means that the gate or the engine refused the order. It has no effect.
	ErrRefused = errors.New("authority: order refused")
	// ErrAborted means that the order was sent but had no effect, for example because the engine crashed.
	ErrAborted = errors.New("authority: order had no effect")
	// ErrUnresolved means that the order may have an effect. The holder goes on finding out; until then other orders for
	// the engine fail with ErrBusy.
	ErrUnresolved = errors.New("authority: outcome of the order not known yet")
)

// Codes of peer errors from a gate. With each of them the gate has not sent the order and never will, except for
// codeUnknown.
const (
	codeStaleFence     = "stale_fence"
	codeBusy           = "busy"
	codeUnavailable    = "unavailable"
	codeNotOutstanding = "not_outstanding"
	codeStopping       = "stopping"
	codeBadOrder       = "bad_order"
	codeRefused        = "refused"
	codeUnknown        = "unknown"
)

// forwardError turns the error of a ForwardOrder call into one of this package.
func forwardError(err error) error {
	var remote *peer.RemoteError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, peer.ErrNotSent), errors.Is(err, peer.ErrUnknownInstance):
		return errors.Mark(err, ErrSuspended)
	case !errors.As(err, &remote):
		return errors.Mark(err, ErrUnresolved)
	}
	switch remote.Code {
	case codeStaleFence, codeBusy, codeUnavailable, codeNotOutstanding, codeStopping, codeBadOrder, codeRefused:
		return errors.Mark(err, ErrRefused)
	}
	return errors.Mark(err, ErrUnresolved)
}

// refusedByEngine says that the engine certainly does not run the order.
func refusedByEngine(err error) bool {
	return errors.IsAny(err, engine.ErrNotSent, engine.ErrStaleFence, engine.ErrBusy, engine.ErrDraining,
		engine.ErrOverloaded, engine.ErrUnknownModel)
}
