package place

import (
	"time"

	"rhubarbpoint/upstream"
)

// Placement is the choice for one attempt.
type Placement struct {
	// Run is the replica that answers.
	Run *upstream.Replica
	// Prefill is another replica that processes the prompt first, or nil.
	Prefill *upstream.Replica
	// Uncached is the estimated number of prompt tokens that must be processed.
	Uncached int
	// Wait is the estimated time behind other requests.
	Wait time.Duration
	// First is the estimated time to the first byte of the answer.
	First time.Duration
	// ReportAge is the age of the load report behind the estimate, negative if there is none.
	ReportAge time.Duration
}
