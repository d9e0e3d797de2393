// Package stream assembles the frames of one or more attempts at a request into one completion. It rejects frames of
// other requests, attempts or model versions, so that a late or misdirected frame never reaches a caller.
package stream

import (
	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
)

// Assembler validates the frames of a request. It is not safe for concurrent use.
type Assembler struct {
	requestID string
	version   string
	attempt   string
	maxTokens int
	tokens    []string
	end       *engine.Frame
}

// NewAssembler returns an assembler for a request to an exact model version.
func NewAssembler(requestID, version string, maxTokens int) *Assembler {
	return &Assembler{requestID: requestID, version: version, maxTokens: maxTokens}
}

// Begin starts the next attempt. From then on, frames of earlier attempts are errors.
func (a *Assembler) Begin(attempt string) { a.attempt = attempt }

// SetVersion changes the model version of the request. It does nothing once a token has been accepted, because a
// completion never mixes versions.
func (a *Assembler) SetVersion(version string) {
	if len(a.tokens) == 0 {
		a.version = version
	}
}

// Version returns the model version of the completion.
func (a *Assembler) Version() string { return a.version }

// Delivered returns the tokens accepted so far. The caller must not modify the slice.
func (a *Assembler) Delivered() []string { return a.tokens }

// Done reports whether the end frame has arrived, which means that the completion is complete.
func (a *Assembler) Done() bool { return a.end != nil }

// End returns the end frame, or nil if it has not arrived yet.
func (a *Assembler) End() *engine.Frame { return a.end }

// Add validates a frame. It returns true if the frame holds a new token to deliver. After an error the attempt must be
// abandoned.
func (a *Assembler) Add(f *engine.Frame) (bool, error) {
	switch {
	case f.RequestID != a.requestID || f.Attempt != a.attempt:
		return false, ErrForeignFrame
	case f.Version != a.version:
		return false, ErrWrongVersion
	case a.end != nil:
		return false, ErrAfterEnd
	case f.End:
		return false, a.addEnd(f)
	case f.Keepalive || f.Token == "":
		return false, nil
	}
	return a.addToken(f)
}

func (a *Assembler) addToken(f *engine.Frame) (bool, error) {
	switch {
	case f.Index < 0 || f.Index > len(a.tokens):
		return false, errors.Wrapf(ErrGap, "expected token %d, got token %d", len(a.tokens), f.Index)
	case f.Index < len(a.tokens) && f.Token != a.tokens[f.Index]:
		return false, errors.Wrapf(ErrTokenChanged, "token %d", f.Index)
	case f.Index < len(a.tokens):
		return false, nil
	case len(a.tokens) >= a.maxTokens:
		return false, errors.Wrapf(ErrTooLong, "limit %d", a.maxTokens)
	}
	a.tokens = append(a.tokens, f.Token)
	return true, nil
}

func (a *Assembler) addEnd(f *engine.Frame) error {
	if f.Total != len(a.tokens) {
		return errors.Wrapf(ErrBadTotal, "got %d tokens, total %d", len(a.tokens), f.Total)
	}
	a.end = f
	return nil
}
