package manager

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Errors to be tested with errors.Is. An invalid document gives config.ErrInvalid.
var (
	// ErrConflict means that the section has changed since the base version of the edit, which was not applied. The
	// error is a *ConflictError.
	ErrConflict = errors.New("config: section has changed since the base version")
	// ErrIDReused means that a different edit with the same ID was accepted before. The edit was not applied.
	ErrIDReused = errors.New("config: edit ID belongs to another edit")
	// ErrUnavailable means that the edit was not applied and never will be, because the store could not be used.
	ErrUnavailable = errors.New("config: store unavailable, edit not applied")
	// ErrOutcomeUnknown means that the outcome of an edit could not be determined. The error is an *OutcomeUnknownError
	// with the ID of the edit.
	ErrOutcomeUnknown = errors.New("config: outcome of edit unknown")
	// ErrExists means that the store already holds a document.
	ErrExists = errors.New("config: store already holds a document")
	// ErrInvalidPeerDocument means that a document from a peer is unreadable, invalid or of another version.
	ErrInvalidPeerDocument = errors.New("config: document from peer refused")
)

// ConflictError describes the conflict of an edit with an earlier one of the same section.
type ConflictError struct {
	Section string
	// Base is the version on which the edit is based, Changed the version that last changed the section, and Current the
	// document's version in the store.
	Base, Changed, Current int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Base > e.Current {
		return fmt.Sprintf("%v: base version %d does not exist, the document has version %d", ErrConflict, e.Base, e.Current)
	}
	return fmt.Sprintf("%v: section %s was changed by version %d, base version %d", ErrConflict, e.Section, e.Changed, e.Base)
}

// Is reports whether the target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// OutcomeUnknownError identifies an edit whose outcome is unknown. Submitting the same edit again with this ID and
// Since determines its outcome.
type OutcomeUnknownError struct {
	ID     string
	Since  int64
	Reason error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("%v: edit %s: %v; submit the same edit with this ID again to determine its outcome", ErrOutcomeUnknown, e.ID, e.Reason)
}

// Is reports whether the target is ErrOutcomeUnknown.
func (e *OutcomeUnknownError) Is(target error) bool { return target == ErrOutcomeUnknown }

// Unwrap returns the reason.
func (e *OutcomeUnknownError) Unwrap() error { return e.Reason }
