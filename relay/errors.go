package relay

import "github.com/cockroachdb/errors"

// Errors of an attempt, to be tested with errors.Is. Each error is marked with ErrNotSent, ErrRefused or
// ErrIncompleteResponse, or else with ErrRequestEnded if the request may have run when it ended.
var (
	// ErrNotSent means that the replica received nothing.
	ErrNotSent = errors.New("relay: not sent")
	// ErrRefused means that the replica reported that it did not run the request.
	ErrRefused = errors.New("relay: refused by the replica")
	// ErrIncompleteResponse means that the request may have run, but no complete response arrived.
	ErrIncompleteResponse = errors.New("relay: incomplete response")
	// ErrRequestEnded means that the request's context ended, by its deadline or because the caller disconnected.
	// Together with ErrNotSent it means that the context ended before anything was sent.
	ErrRequestEnded = errors.New("relay: request ended")

	// ErrMisdirected marks a refusal because the address belongs to another replica.
	ErrMisdirected = errors.New("relay: address belongs to another replica")
	// ErrDialTimeout marks a failure to connect within the dial timeout.
	ErrDialTimeout = errors.New("relay: dial timed out")
	// ErrResponseMismatch marks an ErrIncompleteResponse because the response is not the replica's response to this
	// request.
	ErrResponseMismatch = errors.New("relay: response does not belong to this request")
)
