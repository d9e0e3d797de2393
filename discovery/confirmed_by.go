package discovery

import (
	"time"

	"rhubarbpoint/internal/boottime"
)

// The functions below answer the load of keys that are revoked while an instance is cut off, frozen or turned away, or
// while the store is slow. They state the latest moment at which the store certainly still had what is known here.

// confirmedByWatch returns the moment that the response to a watch confirms. A watch that waited for its whole wait
// without a change confirms the end of the wait, since the wait began when the call arrived or later, but no moment after
// the response. Any other response may be as old as the call.
func confirmedByWatch(sent, arrived boottime.Instant, wait time.Duration, changes int) boottime.Instant {
	if end := sent.Add(wait); changes == 0 && arrived >= end {
		return end
	}
	return sent
}

// confirmingWait returns the wait of a watch while the newest confirmation has an age. A change that ends a watch leaves
// the confirmation at its start, and another whole wait would double the age that an instance has when it is cut off. The
// shorter wait costs at most one more call after a group of changes. Up to confirmSlack, which is more than a call takes,
// the wait is whole.
func confirmingWait(age time.Duration) time.Duration {
	if age <= confirmSlack {
		return watchWait
	}
	return max(0, watchWait-age).Truncate(time.Millisecond)
}
