package config

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/strict"
)

// ErrInvalid means that a document was refused as invalid. Except for those of ParseRawDocument, such errors are of
// type *InvalidError.
var ErrInvalid = errors.New("config: document invalid")

// Fault is one value of a document that violates a rule.
type Fault struct {
	// Section is the first element of the path; empty for a fault of the document as a whole.
	Section string `json:"section,omitempty"`
	strict.Fault
}

// InvalidError lists every fault of a document.
type InvalidError struct {
	Faults []Fault `json:"faults"`
}

func newInvalidError(faults []strict.Fault) *InvalidError {
	all := make([]Fault, len(faults))
	for i, f := range faults {
		section, _, _ := strings.Cut(f.Path, ".")
		if !IsSection(section) {
			section = ""
		}
		all[i] = Fault{Section: section, Fault: f}
	}
	return &InvalidError{Faults: all}
}

// Error implements error. The text has one line for each fault.
func (e *InvalidError) Error() string {
	lines := []string{fmt.Sprintf("%v, %d faults", ErrInvalid, len(e.Faults))}
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Is reports whether the target is ErrInvalid.
func (e *InvalidError) Is(target error) bool { return target == ErrInvalid }
