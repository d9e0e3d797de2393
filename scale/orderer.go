package scale

import (
	"context"

	"rhubarbpoint/duty"
)

// Orderer orders replicas from the platform. Implementations are safe for concurrent use, bound the time of a call to a
// second, and send each call once. They return duty.ErrUnavailable if the zone has no more replicas of this kind for now,
// duty.ErrRateLimited or duty.ErrRefused if the order was not accepted. After any other error the order may have been
// accepted, or may be accepted later.
type Orderer interface {
	// Scale sets the number of replicas of a kind of a service in a zone.
	Scale(ctx context.Context, term duty.Term, service, zone string, desired int, preemptible bool) error
}
