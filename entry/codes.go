package entry

// Error codes of the caller interface. They are stable, and docs/api.md explains them. Responses to non-idempotent
// requests can also have the codes of package claim.
const (
	codeBadRequest            = "bad_request"
	codeCallerLeft            = "caller_left" // only in logs and metrics, since the caller has disconnected
	codeUnsupported           = "unsupported"
	codeBodyTooLarge          = "body_too_large"
	codeBodyTimeout           = "body_timeout"
	codeTooManyHeaders        = "too_many_headers"
	codeUnauthorized          = "unauthorized"
	codeKeysUnknown           = "keys_unknown"
	codeNotFound              = "not_found"
	codeMethodNotAllowed      = "method_not_allowed"
	codeUnknownModel          = "unknown_model"
	codeUnknownService        = "unknown_service"
	codeUnknownRoute          = "unknown_route"
	codeContextTooLong        = "context_too_long"
	codeBadDeadline           = "bad_deadline"
	codeDeadlineExceeded      = "deadline_exceeded"
	codeTooLate               = "too_late"
	codeOverShare             = "over_share"
	codeNoMemory              = "no_memory"
	codeSlowCaller            = "slow_caller" // only in logs and metrics, since the response is cut off
	codeNoEngine              = "no_engine"
	codeNoUpstream            = "no_upstream"
	codeOverloaded            = "overloaded"
	codeSuspectRefused        = "suspect_refused"
	codeUnknownOrigin         = "unknown_origin"
	codeRetriesExhausted      = "retries_exhausted"
	codeStopping              = "stopping"
	codeIdempotencyKeyMissing = "idempotency_key_missing"
	codeIdempotencyKeyInvalid = "idempotency_key_invalid"
	codeOrdersUnavailable     = "orders_unavailable"
	codeUpstreamFailed        = "upstream_failed"
	codeAlreadyCompleted      = "already_completed"
)
