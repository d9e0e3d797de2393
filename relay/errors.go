package relay

import "github.com/cockroachdb/errors"

// Errors of an attempt, to be tested with errors.Is. One of the first three marks each error, or ErrEnded when the request
// may have run.
var (
	// ErrNotSent means that the replica received nothing.
	ErrNotSent = errors.New("relay: not sent")
	// ErrRefused means that the replica said that it did not run the request.
	ErrRefused = errors.New("relay: refused by the replica")
	// ErrBroken means that the request may have run and no whole answer came.
	ErrBroken = errors.New("relay: no whole answer")
	// ErrEnded means that the request's own context ended, by its deadline or because the caller left. With ErrNotSent it
	// ended before anything was sent.
	ErrEnded = errors.New("relay: request ended")

	// ErrOtherInstance marks a refusal because another replica has the address.
	ErrOtherInstance = errors.New("relay: another replica has the address")
	// ErrSilent marks a failure by a time limit of this package.
	ErrSilent = errors.New("relay: replica does not respond")
	// ErrForeign marks a broken attempt whose answer is not the replica's answer to this request.
	ErrForeign = errors.New("relay: not an answer to this request")
)
