package httptopo

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/topo"
)

// Error is the body of an answer that reports a failure.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message,omitempty"`
}

// codes names the errors that the platform reports by itself. An answer without one of them, such as a bare 500, leaves
// the outcome of a write unknown.
var codes = map[string]error{
	"not_found":       topo.ErrNotFound,
	"conflict":        topo.ErrConflict,
	"lease_not_found": topo.ErrLeaseNotFound,
	"too_large":       topo.ErrTooLarge,
	"rate_limited":    topo.ErrRateLimited,
	"unavailable":     topo.ErrUnavailable,
}

// CodeOf returns the code of an error that the platform reports by itself, or "".
func CodeOf(err error) string {
	for code, known := range codes {
		if errors.Is(err, known) {
			return code
		}
	}
	return ""
}

func answerError(status int, body []byte) error {
	var answer Error
	if json.Unmarshal(body, &answer) == nil {
		if known := codes[answer.Code]; known != nil {
			return known
		}
	}
	return errors.Newf("topo: status %d", status)
}

// classify turns a failed call into an error of topo.
func classify(err error, op topo.Op, connected bool) error {
	if CodeOf(err) != "" {
		return err
	}
	if connected && op.Writes() {
		return fmt.Errorf("%w: %w", topo.ErrAmbiguous, err)
	}
	return fmt.Errorf("%w: %w", topo.ErrUnavailable, err)
}
