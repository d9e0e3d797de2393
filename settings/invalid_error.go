package settings

import (
	"fmt"
	"strings"

	"rhubarbpoint/internal/strict"
)

// InvalidError lists every fault of a settings file.
type InvalidError struct {
	Faults []strict.Fault
}

// Error implements error. It returns one line for each fault.
func (e *InvalidError) Error() string {
	lines := []string{fmt.Sprintf("%v, %d faults", ErrInvalid, len(e.Faults))}
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is match ErrInvalid.
func (e *InvalidError) Is(target error) bool { return target == ErrInvalid }
