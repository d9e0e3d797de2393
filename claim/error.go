package claim

// RunState says in an error whether the request was run. The empty state means that it was.
type RunState string

// The states of an unanswered request.
const (
	NotRun     RunState = "not_run"
	RunUnknown RunState = "unknown"
)

// The codes of errors. docs/orders.md describes them for callers.
const (
	CodeInvalidKey       = "invalid_key"
	CodeKeyOutsideWindow = "key_outside_window"
	CodeKeyReused        = "key_reused"
	CodeNotSent          = "not_sent"
	CodeCancelled        = "cancelled"
	CodeOutcomeUnknown   = "outcome_unknown"
	CodeAlreadyCompleted = "already_completed"
	CodeOwnerUnreachable = "owner_unreachable"
	CodeStoreUnavailable = "store_unavailable"
	CodeSlotFull         = "slot_full"
	CodeDeadline         = "deadline"
	CodeStopping         = "stopping"
)

// Error is a failure to run an order, with a stable code and what is known of the order.
type Error struct {
	Code    string
	Message string
	Run     RunState
	// Cause is the error of the SendFunc, if it is known to this process.
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return "claim: " + e.Code + ": " + e.Message }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

func errNotRun(code, message string) *Error { return &Error{Code: code, Message: message, Run: NotRun} }
func errUnknown(code, message string) *Error {
	return &Error{Code: code, Message: message, Run: RunUnknown}
}

func errAlreadyCompleted() *Error {
	return &Error{Code: CodeAlreadyCompleted, Message: "the order was completed; its answer is no longer available"}
}

func errDeadline(doing string) *Error {
	return errUnknown(CodeDeadline, "the request ended while "+doing)
}
