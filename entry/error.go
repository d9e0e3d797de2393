package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/claim"
)

// Error is an error response to a caller.
type Error struct {
	Status  int
	Code    string
	Message string
	// Run says whether the request may have run.
	Run claim.RunState
	// RetryAfter is the value of the Retry-After header; zero omits the header.
	RetryAfter time.Duration
}

// withRetryAfter sets RetryAfter if the request has not run.
func (e *Error) withRetryAfter(delay time.Duration) *Error {
	if e.Run == claim.NotRun {
		e.RetryAfter = delay
	}
	return e
}

// Error implements error.
func (e *Error) Error() string { return "entry: " + e.Code + ": " + e.Message }

// Causes of the end of a request's context, other than a caller that disconnects.
var (
	errDeadlineExceeded = errors.New("entry: deadline passed")
	errSlowCaller       = errors.New("entry: caller makes no progress and memory is needed")
	errStopping         = errors.New("entry: instance is shutting down")
)

// notRun returns the error for a request that was sent to no upstream.
func notRun(status int, code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message, Run: claim.NotRun}
}

// failure returns the error for a failed request. sent says whether an upstream may have received the request.
func failure(sent bool, status int, code, message string) *Error {
	if sent {
		return &Error{Status: status, Code: code, Message: message, Run: claim.RunUnknown}
	}
	return notRun(status, code, message)
}

// body returns the error as the JSON of the caller interface.
func (e *Error) body() []byte {
	type content struct {
		Code    string         `json:"code"`
		Message string         `json:"message"`
		Run     claim.RunState `json:"run,omitempty"`
	}
	body, _ := json.Marshal(map[string]content{"error": {e.Code, e.Message, e.Run}})
	return body
}

// write writes the error as the response, for at most writeTimeout.
func (e *Error) write(w http.ResponseWriter) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	body := append(e.body(), '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(e.Status)
	w.Write(body)
}
