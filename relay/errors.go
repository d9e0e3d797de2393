package relay

import "github.com/cockroachdb/errors"

// Errors of an attempt, to be tested with errors.Is. One of the first three marks each error, or ErrEnded when the request
// may have run.
var (
	// ErrNotSent means that the replica received nothing.
	ErrNotSent = errors.New("relay: not sent")
	// ErrRefused means that the replica said that it did not run the request.
	ErrRefused = errors.New("relay: refused by the replica")
	// ErrIncompleteResponse means that the request may have run and no whole answer came.
	ErrIncompleteResponse = errors.New("relay: no whole answer")
	// ErrRequestEnded means that the request's own context ended, by its deadline or because the caller left. With ErrNotSent it
	// ended before anything was sent.
	ErrRequestEnded = errors.New("relay: request ended")

	// ErrMisdirected marks a refusal because another replica has the address.
	ErrMisdirected = errors.New("relay: another replica has the address")
	// ErrDialTimeout marks a failure by a time limit of this package.
	ErrDialTimeout = errors.New("relay: replica does not respond")
	// ErrResponseMismatch marks a broken attempt whose answer is not the replica's answer to this request.
	ErrResponseMismatch = errors.New("relay: not an answer to this request")
)
