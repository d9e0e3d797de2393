package operator

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
	"rhubarbpoint/config/manager"
)

// Code identifies a kind of error for scripts.
type Code string

// The error codes.
const (
	CodeBadRequest Code = "bad_request"
	CodeNotFound   Code = "not_found"
	// CodeInvalid means that the document would be invalid; the error lists the faults.
	CodeInvalid  Code = "invalid"
	CodeConflict Code = "conflict"
	CodeIDReused Code = "id_reused"
	CodeExists   Code = "exists"
	// CodeUnavailable means that nothing was changed.
	CodeUnavailable Code = "unavailable"
	// CodeOutcomeUnknown means that the outcome of an edit is unknown. The error has the ID of the edit, with which the
	// same request can be repeated to get the outcome.
	CodeOutcomeUnknown Code = "unknown"
)

var statusCodes = map[Code]int{
	CodeBadRequest: http.StatusBadRequest, CodeNotFound: http.StatusNotFound, CodeInvalid: http.StatusUnprocessableEntity,
	CodeConflict: http.StatusConflict, CodeIDReused: http.StatusConflict, CodeExists: http.StatusConflict,
	CodeUnavailable: http.StatusServiceUnavailable, CodeOutcomeUnknown: http.StatusGatewayTimeout,
}

// Error is the body of a response that reports a failure.
type Error struct {
	Code    Code           `json:"code"`
	Message string         `json:"message"`
	Faults  []config.Fault `json:"faults,omitempty"`
	Edit    string         `json:"edit,omitempty"`
	Since   int64          `json:"since,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

func writeError(w http.ResponseWriter, e *Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusCodes[e.Code])
	json.NewEncoder(w).Encode(e)
}

// translate converts an error of the configuration packages into one for operators.
func translate(err error) *Error {
	e := &Error{Code: CodeBadRequest, Message: err.Error()}
	var invalid *config.InvalidError
	var unknown *manager.OutcomeUnknownError
	switch {
	case errors.As(err, &invalid):
		e.Code, e.Faults = CodeInvalid, invalid.Faults
	case errors.As(err, &unknown):
		e.Code, e.Edit, e.Since = CodeOutcomeUnknown, unknown.ID, unknown.Since
	case errors.Is(err, manager.ErrConflict):
		e.Code = CodeConflict
	case errors.Is(err, manager.ErrIDReused):
		e.Code = CodeIDReused
	case errors.Is(err, manager.ErrExists):
		e.Code = CodeExists
	case errors.Is(err, manager.ErrUnavailable):
		e.Code = CodeUnavailable
	case errors.Is(err, config.ErrUnknownSection):
		e.Code = CodeNotFound
	}
	return e
}
