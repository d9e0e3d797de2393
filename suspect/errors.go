package suspect

import "github.com/cockroachdb/errors"

// Errors of suspects, to be tested with errors.Is.
var (
	// ErrRefused means that the request has crashed too many engines.
	ErrRefused = errors.New("suspect: request crashed too many engines")
	// ErrWait means that the suspect must not run now; Changed tells when to ask again.
	ErrWait = errors.New("suspect: suspect must wait")
)
