package relay

import "github.com/cockroachdb/errors"

// Errors of an attempt, to be tested with errors.Is. Each error is marked with ErrNotSent, ErrRefused or
// ErrIncompleteResponse, or else with ErrRequestEnded if the request may have run when it ended.
var (
	// ErrNotSent means that the replica received nothing.
	ErrNotSent = errors.New("relay: not sent")
	// ErrRefused means that the replica reported that it did not run the request.
	ErrRefused = errors.New("relay: refused by the replica")
	// ErrBroken means that the request may have run, but no complete response arrived.
	ErrBroken = errors.New("relay: incomplete response")
	// ErrEnded means that the request's context ended, by its deadline or because the caller disconnected. Together
	// with ErrNotSent it means that the context ended before anything was sent.
	ErrEnded = errors.New("relay: request ended")

	// ErrOtherInstance marks a refusal because the address belongs to another replica.
	ErrOtherInstance = errors.New("relay: address belongs to another replica")
	// ErrSilent marks a failure to connect within the dial timeout.
	ErrSilent = errors.New("relay: dial timed out")
	// ErrForeign marks an ErrIncompleteResponse because the response is not the replica's response to this request.
	ErrForeign = errors.New("relay: response does not belong to this request")
)
