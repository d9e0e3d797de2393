package duty

import "github.com/cockroachdb/errors"

// ErrHeld means that another instance holds the lease. Test for it with errors.Is.
var ErrHeld = errors.New("duty: another instance holds the lease")

// Errors of calls to the control API that were answered. Test for them with errors.Is. Any other error means that there
// was no answer: the call may have been executed, or may still be, and may only be repeated with the same content.
var (
	// ErrUnavailable means that what was ordered is not available there now.
	ErrUnavailable = errors.New("duty: not available there")
	// ErrRateLimited means that the call exceeded the rate of calls that is allowed to all instances together. It was
	// not executed.
	ErrRateLimited = errors.New("duty: rate limit exceeded")
	// ErrRefused means that the call was answered with another status that is not a success.
	ErrRefused = errors.New("duty: call refused")
)
