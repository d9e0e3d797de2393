package authority

import (
	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
	"rhubarbpoint/peer"
)

// Errors of orders, for use with errors.Is.
var (
	// ErrNotHolder means that this instance is not the region's holder. The order was not sent.
	ErrNotHolder = errors.New("authority: not the holder of the region")
	// ErrUnknownEngine means that the configuration has no such engine in this region. The order was not sent.
	ErrUnknownEngine = errors.New("authority: unknown engine")
	// ErrBusy means that another order for the engine is not finished. The order was not sent.
	ErrBusy = errors.New("authority: another order is outstanding")
	// ErrSuspended means that the engine's gate does not answer although its process has not ended, that no instance
	// can be its gate, that the engine did not accept the term's fencing token, that the rate limit of the weight store
	// did not allow the order in time, or that the store did not answer. The order was not sent.
	ErrSuspended = errors.New("authority: orders to the engine are suspended")
	// ErrRefused means that the gate or the engine refused the order. The order has no effect.
	ErrRefused = errors.New("authority: order refused")
	// ErrAborted means that the order was sent but had no effect, for example because the engine crashed.
	ErrAborted = errors.New("authority: order had no effect")
	// ErrUnresolved means that the order may have an effect. The holder keeps trying to find out; until it has, other
	// orders for the engine fail with ErrBusy.
	ErrUnresolved = errors.New("authority: outcome of the order is not known yet")
)

// Codes of a gate's errors in peer responses. With each of them, the engine has not run the order and never will,
// except for codeUnknown.
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

// forwardError marks the error of a ForwardOrder call with the error of this package that it amounts to.
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

// refusedByEngine reports whether an error of engine.Client.Order means that the engine does not run the order.
func refusedByEngine(err error) bool {
	return errors.IsAny(err, engine.ErrNotSent, engine.ErrStaleFence, engine.ErrBusy, engine.ErrDraining,
		engine.ErrOverloaded, engine.ErrUnknownModel)
}
