package place

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoReplica means that no replica of the service accepts requests. Test for it with errors.Is.
var ErrNoReplica = errors.New("place: no replica accepts requests")

// BusyError means that the best replica has too much queued work for the request to finish in time, or that all replicas
// are at their limits.
type BusyError struct {
	// TimeToFirstByte is the estimated time to the first byte at the best replica, Wait the part of it that is queueing
	// delay.
	TimeToFirstByte, Wait time.Duration
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// AtLimit is set if the wait is that for the limits which the replicas name or the pauses which they ask for, and not
	// for other work.
	AtLimit bool
	// Excess is by how much the estimate exceeds what is allowed: a request like this one is accepted when the queue
	// has become shorter by this much.
	Excess time.Duration
	// Pause is the time until the first replica takes requests again, if all have asked for a pause.
	Pause time.Duration
}

// Error implements error.
func (e *BusyError) Error() string {
	if e.AtLimit {
		return fmt.Sprintf("place: the replicas' limits and pauses allow this instance no request for %v, with %v left", e.Wait, e.Remaining)
	}
	return fmt.Sprintf("place: the first byte would come after %v, %v of it behind other requests, with %v left",
		e.TimeToFirstByte, e.Wait, e.Remaining)
}
