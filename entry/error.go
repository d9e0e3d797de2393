package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/claim"
)

// Error is a failure as the caller sees it.
type Error struct {
	Status  int
	Code    string
	Message string
	Run     claim.RunState
	// RetryAfter is when the caller should come back; zero says nothing.
	RetryAfter time.Duration
}

// after sets when the caller should come back, if the request has not run.
func (e *Error) after(pause time.Duration) *Error {
	if e.Run == claim.NotRun {
		e.RetryAfter = pause
	}
	return e
}

// Error implements error.
func (e *Error) Error() string { return "entry: " + e.Code + ": " + e.Message }

// Reasons for which the context of a request ends, besides a caller that left.
var (
	errDeadline = errors.New("entry: deadline passed")
	errStopping = errors.New("entry: instance stops")
)

// notRun returns an error about a request that was sent to no upstream.
func notRun(status int, code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message, Run: claim.NotRun}
}

func failure(sent bool, status int, code, message string) *Error {
	if sent {
		return &Error{Status: status, Code: code, Message: message, Run: claim.RunUnknown}
	}
	return notRun(status, code, message)
}

// body returns the error in the form of the callers' interface.
func (e *Error) body() []byte {
	type content struct {
		Code    string         `json:"code"`
		Message string         `json:"message"`
		Run     claim.RunState `json:"run,omitempty"`
	}
	body, _ := json.Marshal(map[string]content{"error": {e.Code, e.Message, e.Run}})
	return body
}

// write answers with the error.
func (e *Error) write(w http.ResponseWriter) {
	body := append(e.body(), '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(e.Status)
	w.Write(body)
}
