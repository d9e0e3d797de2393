package relay

import (
	"time"

	"rhubarbpoint/upstream"
)

// Attempt is one attempt to send a call to one replica.
type Attempt struct {
	Replica *upstream.Replica
	// Deadline is when the replica should stop working on the request.
	Deadline time.Time
	// PromptOnly asks the replica to process the prompt and keep its KV cache for another replica.
	PromptOnly bool
	// Cache names the KV cache that the replica should fetch first; nil means none.
	Cache *CacheHandle
	// LastEventID is the ID of the event after which the stream should resume; -1 asks for the complete response.
	LastEventID int64
	// Priority orders the requests of the replica: 0 is served first. A negative value means the replica's default.
	Priority int
	// Probe, if not nil, is sent before the call.
	Probe *Probe
	// OnResponse, if not nil, is called with what the header of the replica's response says, also if it is a refusal.
	OnResponse func(ResponseInfo)
	// Hold, if not nil, is called before the response is buffered in so many bytes in all beyond freeBufferBytes, and with 0
	// at its end. It may wait for memory, or return an error.
	Hold func(bytes int) error
}

// CacheHandle identifies the KV cache of a processed prompt and the replica that holds it.
type CacheHandle struct {
	Address string
	Handle  string
}
