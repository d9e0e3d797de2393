package place

import (
	"time"

	"rhubarbpoint/upstream"
)

// Placement is the choice for one attempt.
type Placement struct {
	// Replica is the replica that answers.
	Replica *upstream.Replica
	// Prefill is another replica that processes the prompt first, or nil.
	Prefill *upstream.Replica
	// UncachedTokens is the estimated number of prompt tokens that must be processed.
	UncachedTokens int
	// Wait is the estimated time behind other requests.
	Wait time.Duration
	// TimeToFirstByte is the estimated time to the first byte of the answer.
	TimeToFirstByte time.Duration
	// ReportAge is the age of the load report behind the estimate, negative if there is none.
	ReportAge time.Duration
}
