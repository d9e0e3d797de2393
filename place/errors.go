package place

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoReplica means that no replica of the service takes requests, to be tested with errors.Is.
var ErrNoReplica = errors.New("place: no replica takes requests")

// TooLateError means that no replica can answer in time.
type TooLateError struct {
	// First is the best estimate of the time to the first byte.
	First time.Duration
	// Left is the time until the deadline.
	Left time.Duration
}

// Error implements error.
func (e *TooLateError) Error() string {
	return fmt.Sprintf("place: the first byte would come after %v with %v left", e.First, e.Left)
}
