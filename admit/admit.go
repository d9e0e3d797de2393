// Package admit decides which requests start: those that can finish in time, within fair shares between workspaces.
package admit

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of admission. Test for them with errors.Is. A refused request was not run.
var (
	ErrTooLate   = errors.New("admit: request cannot finish by its deadline")
	ErrOverShare = errors.New("admit: workspace is over its share")
)

// Request holds the properties of a request that admission depends on.
type Request struct {
	Workspace string
	Weight    float64
	// Cost is the estimated work in seconds of one engine. It is 0 for a call that uses no engine; such a call is
	// refused only if it cannot finish by its deadline.
	Cost     float64
	Deadline time.Time
	// EstimatedFinish is when the request is expected to finish, as estimated by routing.
	EstimatedFinish time.Time
}

// OverloadObserver is implemented by an Admitter that adapts to overload. It is called for requests that routing
// refused as too late or holds back.
type OverloadObserver interface {
	RecordTooLate(now time.Time, req *Request)
	RecordHeldBack(now time.Time)
}

// Admitter decides whether requests start. Implementations are safe for concurrent use.
type Admitter interface {
	// Admit returns a function to be called when the request has ended, or ErrTooLate or ErrOverShare.
	Admit(now time.Time, req *Request) (release func(now time.Time), err error)
}
