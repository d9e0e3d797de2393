// Package admit decides which requests start: those that can finish in time, within fair shares between workspaces.
package admit

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of admission, to be tested with errors.Is. A refused request was not run.
var (
	ErrTooLate   = errors.New("admit: request cannot finish by its deadline")
	ErrOverShare = errors.New("admit: workspace is over its share")
)

// Request is what admission knows of a request.
type Request struct {
	Workspace string
	Weight    float64
	// Cost is the estimated work in seconds of one engine; 0 for a call that uses no engine, which only its deadline
	// can refuse.
	Cost     float64
	Deadline time.Time
	// EstimatedFinish is when the request is expected to finish, from routing.
	EstimatedFinish time.Time
}

// OverloadObserver is an Admitter that also takes note of requests that routing refused as too late or holds back.
type OverloadObserver interface {
	RecordTooLate(now time.Time, req *Request)
	RecordHeldBack(now time.Time)
}

// Admitter decides on requests. Implementations are safe for concurrent use.
type Admitter interface {
	// Admit returns a function to call when the request has ended, or ErrTooLate or ErrOverShare.
	Admit(now time.Time, req *Request) (release func(now time.Time), err error)
}
