package httpengine

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
)

// sendError marks a failed dial, after which nothing was sent, with ErrNotSent, and any other error with
// ErrConnectionBroken.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(err, engine.ErrNotSent)
	}
	return errors.Mark(err, engine.ErrConnectionBroken)
}

func statusError(status int) error {
	switch status {
	case http.StatusServiceUnavailable:
		return engine.ErrDraining
	case http.StatusTooManyRequests:
		return engine.ErrOverloaded
	case http.StatusNotFound:
		return engine.ErrUnknownModel
	case http.StatusPreconditionFailed:
		return engine.ErrStaleFence
	case http.StatusConflict:
		return engine.ErrBusy
	}
	return errors.Wrapf(engine.ErrConnectionBroken, "status %d", status)
}
