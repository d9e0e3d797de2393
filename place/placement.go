package place

import (
	"time"

	"rhubarbpoint/upstream"
)

// Placement is the choice of replicas for one attempt.
type Placement struct {
	// Replica sends the response.
	Replica *upstream.Replica
	// Prefill is another replica that processes the prompt first and hands off its KV cache, or nil.
	Prefill *upstream.Replica
	// UncachedTokens is the estimated number of prompt tokens that must be processed.
	UncachedTokens int
	// Wait is the estimated queueing delay.
	Wait time.Duration
	// TimeToFirstByte is the estimated time to the first byte of the response.
	TimeToFirstByte time.Duration
	// ReportAge is the age of the load report that the estimate uses, negative if there is none.
	ReportAge time.Duration
}
