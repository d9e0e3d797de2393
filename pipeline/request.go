package pipeline

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Request is what the pipeline keeps of one request. It is for one goroutine.
type Request struct {
	// Repeatable requests may be sent again although an earlier attempt may have run.
	Repeatable bool
	// MaxAttempts bounds the attempts that may have run; zero means no bound.
	MaxAttempts int
	// MaxRetries bounds the further attempts that are charged to the budget, so that a request that always fails does not
	// use up the budget of all.
	MaxRetries int
	// MaxPlacementWait is how long the request waits while no upstream takes it.
	MaxPlacementWait time.Duration
	// Budget bounds the further attempts of all requests.
	Budget Budget

	// Attempts counts the sends, Started those that may have run.
	Attempts int
	Started  int
	charged  int
	// unplaced is since when no upstream takes the request; zero while one does.
	unplaced time.Time
}

// Budget bounds repeated attempts. Implementations are safe for concurrent use.
type Budget interface {
	// Take allows a further attempt and counts it, or returns false.
	Take() bool
}

// MayHaveRun says whether any attempt may have run.
func (r *Request) MayHaveRun() bool { return r.Started > 0 }

// MarkAccepted notes that an upstream took the request.
func (r *Request) MarkAccepted() { r.unplaced = time.Time{} }

// RecordAttempt counts a failed or successful attempt.
func (r *Request) RecordAttempt(err error) {
	r.Attempts++
	if !errors.Is(err, ErrNotRun) && !errors.Is(err, ErrNotSent) {
		r.Started++
	}
}

// AllowRetry says whether another attempt may follow the error, and charges it to the budget.
func (r *Request) AllowRetry(now time.Time, err error) bool {
	switch {
	case errors.Is(err, ErrFinal):
		return false
	case errors.Is(err, ErrNoUpstream), errors.Is(err, ErrPlannedRefusal):
		if r.unplaced.IsZero() {
			r.unplaced = now
		}
		return now.Sub(r.unplaced) < r.MaxPlacementWait
	case r.Started > 0 && !r.Repeatable:
		return false
	case r.MaxAttempts > 0 && r.Started >= r.MaxAttempts:
		return false
	}
	r.charged++
	if r.charged > r.MaxRetries {
		return false
	}
	// An attempt of which no byte left has put no load on any upstream.
	return errors.Is(err, ErrNotSent) || r.Budget.Take()
}
