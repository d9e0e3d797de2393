package claim

// RunState tells the caller of a failed request whether the order was run. The empty state means that it was.
type RunState string

// The states of an order whose request failed.
const (
	NotRun     RunState = "not_run"
	RunUnknown RunState = "unknown"
)

// Values of Error.Code. docs/orders.md describes them for callers.
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

// Error is a failure to run an order, with a stable code and whether the order was run.
type Error struct {
	Code    string
	Message string
	Run     RunState
	// Cause is the error of the SendFunc. It is nil if the SendFunc was not called or was called by another process.
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return "claim: " + e.Code + ": " + e.Message }

// Unwrap returns Cause.
func (e *Error) Unwrap() error { return e.Cause }

func errNotRun(code, message string) *Error { return &Error{Code: code, Message: message, Run: NotRun} }
func errUnknown(code, message string) *Error {
	return &Error{Code: code, Message: message, Run: RunUnknown}
}

func errAlreadyCompleted() *Error {
	return &Error{Code: CodeAlreadyCompleted, Message: "the order was completed; its response is no longer available"}
}

// errDeadline completes the sentence "the request ended while ...".
func errDeadline(activity string) *Error {
	return errUnknown(CodeDeadline, "the request ended while "+activity)
}
