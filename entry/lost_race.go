package entry

import (
	"context"

	"rhubarbpoint/upstream"
)

// lostRaceError is the cause of the cancellation of an attempt because the other attempt of its request got a response.
type lostRaceError struct {
	// silent is set if the attempt had run longer than almost all others.
	silent bool
}

// Error implements error.
func (*lostRaceError) Error() string { return "entry: another attempt responded first" }

// recordLost records an attempt that was cancelled because the other one responded. A replica that never responds must
// still become known as failing although second attempts replace its responses, so a cancelled attempt without a header
// counts as a failure if it had run longer than almost all others.
func (x *routedExchange) recordLost(ctx context.Context, replica *upstream.Replica, lost *lostRaceError) {
	if lost.silent && x.status == 0 {
		x.recordFailure(ctx, replica)
	}
}
