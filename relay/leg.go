package relay

import (
	"time"

	"rhubarbpoint/upstream"
)

// Attempt is one send of a call to one replica.
type Attempt struct {
	Replica *upstream.Replica
	// Deadline is when the replica should stop.
	Deadline time.Time
	// PromptOnly asks the replica to process the prompt and keep its KV cache for another replica.
	PromptOnly bool
	// Cache names the KV cache that the replica should fetch first, if set.
	Cache *CacheHandle
	// LastEventID asks a stream to continue behind this event; -1 for a whole answer.
	LastEventID int64
	// Priority is the rank among the requests of the replica, 0 first; negative means the replica's default.
	Priority int
}

// CacheHandle names the KV cache of a processed prompt at the replica that holds it.
type CacheHandle struct {
	Address string
	Handle  string
}
