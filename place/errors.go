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
	// TimeToFirstByte is the best estimate of the time to the first byte, Wait the part of it behind other requests.
	TimeToFirstByte, Wait time.Duration
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Excess is how much work must be done before a request like this is taken.
	Excess time.Duration
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("place: the first byte would come after %v, %v of it behind other requests, with %v left",
		e.TimeToFirstByte, e.Wait, e.Remaining)
}
