package place

import (
	"time"

	"rhubarbpoint/relay"
	"rhubarbpoint/upstream"
)

// Request is what the choice of a replica depends on.
type Request struct {
	Prompt relay.Prompt
	// Deadline is when the answer is of no use any more.
	Deadline time.Time
	// Target is the time to the first byte that is of full use to the caller.
	Target time.Duration
	// CacheSource is the replica that holds the processed prompt, or nil.
	CacheSource *upstream.Replica
	// Tried replicas are chosen only when no other is left, Refused ones not at all.
	Tried   map[upstream.Incarnation]bool
	Refused map[upstream.Incarnation]bool
	// Resumed is set for a request that has been answered in part. It is placed however late it will be.
	Resumed bool
}
