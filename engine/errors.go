package engine

import "github.com/cockroachdb/errors"

// Errors of calls to engines, for use with errors.Is.
var (
	// ErrNotSent means that no byte of the request reached the engine.
	ErrNotSent      = errors.New("engine: request not sent")
	ErrDraining     = errors.New("engine: draining, takes no new work")
	ErrOverloaded   = errors.New("engine: overloaded")
	ErrUnknownModel = errors.New("engine: model or version not loaded")
	// ErrConnectionBroken means that the connection ended and the outcome is unknown.
	ErrConnectionBroken = errors.New("engine: connection broken")
	ErrIdleTimeout      = errors.New("engine: no frame within the idle timeout")
	ErrCorrupt          = errors.New("engine: unreadable frame")
	ErrStaleFence       = errors.New("engine: stale fencing token")
	ErrBusy             = errors.New("engine: another order is running")
)
