// Package stream joins the frames of one or more attempts at a request into one answer. It refuses frames of other
// requests, attempts or versions, so that a late or crossed frame never reaches a caller.
package stream

import (
	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
)

// Errors of frames, to be tested with errors.Is.
var (
	ErrForeignFrame = errors.New("stream: frame of another request or attempt")
	ErrWrongVersion = errors.New("stream: frame of another model version")
	ErrGap          = errors.New("stream: token missing")
	ErrBadTotal     = errors.New("stream: end frame with wrong total")
)

// Assembler checks the frames of a request. It is for one goroutine at a time.
type Assembler struct {
	requestID string
	version   string
	attempt   string
	tokens    []string
	done      bool
}

// NewAssembler returns an assembler for a request on an exact model version.
func NewAssembler(requestID, version string) *Assembler {
	return &Assembler{requestID: requestID, version: version}
}

// Begin starts another attempt. Frames of earlier attempts are errors from now on.
func (a *Assembler) Begin(attempt string) { a.attempt = attempt }

// Delivered returns the tokens accepted so far.
func (a *Assembler) Delivered() []string { return a.tokens }

// Done says whether the answer is whole.
func (a *Assembler) Done() bool { return a.done }

// Add checks a frame. It returns true when the frame has a new token to deliver.
func (a *Assembler) Add(f *engine.Frame) (bool, error) {
	if f.RequestID != a.requestID || f.Attempt != a.attempt {
		return false, ErrForeignFrame
	}
	if f.Version != a.version {
		return false, ErrWrongVersion
	}
	if f.Keepalive {
		return false, nil
	}
	if f.End {
		if f.Total != len(a.tokens) {
			return false, errors.Wrapf(ErrBadTotal, "got %d tokens, total %d", len(a.tokens), f.Total)
		}
		a.done = true
		return false, nil
	}
	if f.Index < len(a.tokens) {
		return false, nil
	}
	if f.Index > len(a.tokens) {
		return false, errors.Wrapf(ErrGap, "want token %d, got %d", len(a.tokens), f.Index)
	}
	a.tokens = append(a.tokens, f.Token)
	return true, nil
}
