package suspect

import "github.com/cockroachdb/errors"

// Errors of suspects, to be tested with errors.Is.
var (
	// ErrRefused means that the request has been blamed for too many crashes.
	ErrRefused = errors.New("suspect: request crashed too many engines")
	// ErrWait means that the suspect must not run now. The channel of Changed is closed when a new Check is worthwhile.
	ErrWait = errors.New("suspect: request must wait for another attempt")
)
