package claim

// RunState says in an error whether the request was run. The empty state means that it was.
type RunState string

// The states of an unanswered request.
const (
	NotRun  RunState = "not_run"
	Unknown RunState = "unknown"
)

// Error is a failure to run an order, with a stable code and what is known of the order.
type Error struct {
	Code    string
	Message string
	Run     RunState
}

// Error implements error.
func (e *Error) Error() string { return "claim: " + e.Code + ": " + e.Message }
