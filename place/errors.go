package place

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoReplica means that no replica of the service takes requests, to be tested with errors.Is.
var ErrNoReplica = errors.New("place: no replica takes requests")

// BusyError means that the best replica has too much work before this request.
type BusyError struct {
	// First is the best estimate of the time to the first byte, Wait the part of it behind other requests.
	First, Wait time.Duration
	// Left is the time until the deadline.
	Left time.Duration
	// Over is how much work must be done before a request like this is taken.
	Over time.Duration
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("place: the first byte would come after %v, %v of it behind other requests, with %v left",
		e.First, e.Wait, e.Left)
}
