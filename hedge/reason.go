package hedge

// Reason says why no second attempt is sent. Its value is the end of a counter's name.
type Reason string

// Reasons. The first group is final for a request, the second may end while the request runs.
const (
	// CallerLeft means that nobody waits for the response.
	CallerLeft Reason = "caller_left"
	// Suspect means that the request may crash replicas.
	Suspect Reason = "suspect"
	// Attempts means that the route's limit of attempts would be exceeded.
	Attempts Reason = "attempts"
	// Unmeasured means that too few response times of the service are known.
	Unmeasured Reason = "unmeasured"
	// Deadline means that a fresh attempt would not finish before the deadline.
	Deadline Reason = "deadline"

	// Early means that the running attempt is still expected to finish before a fresh one.
	Early Reason = "early"
	// Capacity means that the slots of the service are nearly in use.
	Capacity Reason = "capacity"
	// Share means that the limit of second attempts per request is reached.
	Share Reason = "share"
	// RetryBudget means that the rest of the retry budget is reserved for retries after failures.
	RetryBudget Reason = "retry_budget"
	// NoReplica means that no other replica takes the request.
	NoReplica Reason = "no_replica"
)
