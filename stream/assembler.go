// Package stream joins the frames of one or more attempts at a request into one answer. It refuses frames of other
// requests, attempts or versions, so that a late or crossed frame never reaches a caller.
package stream

import (
	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
)

// Assembler checks the frames of a request. It is for one goroutine at a time.
type Assembler struct {
	requestID string
	version   string
	attempt   string
	maxTokens int
	tokens    []string
	end       *engine.Frame
}

// NewAssembler returns an assembler for a request on an exact model version.
func NewAssembler(requestID, version string, maxTokens int) *Assembler {
	return &Assembler{requestID: requestID, version: version, maxTokens: maxTokens}
}

// Begin starts another attempt. Frames of earlier attempts are errors from now on.
func (a *Assembler) Begin(attempt string) { a.attempt = attempt }

// SetVersion moves the request to another version. It does nothing once a token has been accepted, because an answer
// never mixes versions.
func (a *Assembler) SetVersion(version string) {
	if len(a.tokens) == 0 {
		a.version = version
	}
}

// Version returns the version that the answer is bound to.
func (a *Assembler) Version() string { return a.version }

// Delivered returns the tokens accepted so far. The caller must not change them.
func (a *Assembler) Delivered() []string { return a.tokens }

// Done says whether the answer is whole.
func (a *Assembler) Done() bool { return a.end != nil }

// End returns the end frame, or nil before it came.
func (a *Assembler) End() *engine.Frame { return a.end }

// Add checks a frame. It returns true when the frame has a new token to deliver. After an error the attempt must be
// given up.
func (a *Assembler) Add(f *engine.Frame) (bool, error) {
	switch {
	case f.RequestID != a.requestID || f.Attempt != a.attempt:
		return false, ErrForeignFrame
	case f.Version != a.version:
		return false, ErrWrongVersion
	case a.end != nil:
		return false, ErrAfterEnd
	case f.End:
		return false, a.finish(f)
	case f.Keepalive || f.Token == "":
		return false, nil
	}
	return a.addToken(f)
}

func (a *Assembler) addToken(f *engine.Frame) (bool, error) {
	switch {
	case f.Index < 0 || f.Index > len(a.tokens):
		return false, errors.Wrapf(ErrGap, "want token %d, got %d", len(a.tokens), f.Index)
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

func (a *Assembler) finish(f *engine.Frame) error {
	if f.Total != len(a.tokens) {
		return errors.Wrapf(ErrBadTotal, "got %d tokens, total %d", len(a.tokens), f.Total)
	}
	a.end = f
	return nil
}
