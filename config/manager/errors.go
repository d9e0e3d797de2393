package manager

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Errors of edits, to be tested with errors.Is. A refused document is a config.ErrInvalid.
var (
	// ErrConflict means that the section has changed since the base version of the edit, which was not applied. The
	// error is a *ConflictError.
	ErrConflict = errors.New("config: section has changed since the base version")
	// ErrIDReused means that another edit has the same ID. The edit was not applied.
	ErrIDReused = errors.New("config: edit ID belongs to another edit")
	// ErrUnavailable means that the edit was not applied and never will be, because the store could not be used.
	ErrUnavailable = errors.New("config: store unavailable, edit not applied")
	// ErrOutcomeUnknown means that the outcome could not be learned. The error is an *UnknownError with the ID of the edit.
	ErrOutcomeUnknown = errors.New("config: outcome of edit unknown")
	// ErrExists means that the store holds a document already.
	ErrExists = errors.New("config: store holds a document already")
	// ErrInvalidPeerDocument means that a document from a peer is unreadable.
	ErrInvalidPeerDocument = errors.New("config: offered document unreadable")
)

// ConflictError says which version changed the section.
type ConflictError struct {
	Section string
	// Base is the version that the editor started from, Changed the one of the section's last change, Current the
	// one of the document.
	Base, Changed, Current int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Base > e.Current {
		return fmt.Sprintf("%v: base version %d does not exist, the document has version %d", ErrConflict, e.Base, e.Current)
	}
	return fmt.Sprintf("%v: section %s was changed by version %d, base version %d", ErrConflict, e.Section, e.Changed, e.Base)
}

// Is makes errors.Is find ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// OutcomeUnknownError names an edit whose outcome is unknown. The same edit with this ID and Since, given again, ends with its
// true outcome.
type OutcomeUnknownError struct {
	ID     string
	Since  int64
	Reason error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("%v: edit %s: %v; give the same edit with this ID again to learn its outcome", ErrOutcomeUnknown, e.ID, e.Reason)
}

// Is makes errors.Is find ErrUnknown.
func (e *OutcomeUnknownError) Is(target error) bool { return target == ErrOutcomeUnknown }

// Unwrap returns the reason.
func (e *OutcomeUnknownError) Unwrap() error { return e.Reason }
