package place

import (
	"time"

	"rhubarbpoint/relay"
	"rhubarbpoint/upstream"
)

// Request holds the properties of a request that the choice of a replica depends on.
type Request struct {
	Prompt relay.Prompt
	// Deadline is the time after which the caller has no use for the response.
	Deadline time.Time
	// Target is the target for the time to the first byte; zero means none.
	Target time.Duration
	// CacheSource is the replica that holds the KV cache of the processed prompt, or nil.
	CacheSource *upstream.Replica
	// Tried replicas are chosen only when no other is left, Refused ones not at all.
	Tried   map[upstream.Incarnation]bool
	Refused map[upstream.Incarnation]bool
	// Resumed is set for a request whose response has partly been delivered. It is placed even if it will be late.
	Resumed bool
	// TakenUp is set for a request that takes up a stream of which the caller has a part already. Its target has been met or
	// missed, so only the deadline counts.
	TakenUp bool
}
