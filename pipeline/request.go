package pipeline

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Request holds the retry limits and the retry state of one request. It is not safe for concurrent use.
type Request struct {
	// Repeatable requests may be retried even if an earlier attempt may have run.
	Repeatable bool
	// MaxAttempts bounds the attempts that may have run; zero means no bound.
	MaxAttempts int
	// MaxRetries bounds the retries other than those after ErrNoUpstream and ErrPlannedRefusal, so that a request that
	// always fails does not exhaust the budget that all requests share.
	MaxRetries int
	// MaxPlacementWait is how long the request waits while no upstream accepts it.
	MaxPlacementWait time.Duration
	// Budget bounds the retries of all requests together.
	Budget Budget

	// Attempts counts all attempts, Started those that may have run.
	Attempts int
	Started  int
	retries  int // counted against MaxRetries
	// unplacedSince is when upstreams stopped accepting the request; zero while one accepts it.
	unplacedSince time.Time
}

// Budget is a retry budget. Implementations are safe for concurrent use.
type Budget interface {
	// Take takes one retry from the budget. It returns false if the budget is exhausted.
	Take() bool
}

// MayHaveRun reports whether any attempt may have run.
func (r *Request) MayHaveRun() bool { return r.Started > 0 }

// MarkAccepted records that an upstream accepted the request.
func (r *Request) MarkAccepted() { r.unplacedSince = time.Time{} }

// RecordAttempt records the result of an attempt.
func (r *Request) RecordAttempt(err error) {
	r.Attempts++
	if !errors.Is(err, ErrNotRun) && !errors.Is(err, ErrNotSent) {
		r.Started++
	}
}

// AllowRetry reports whether the request may be retried after err, and if so charges the retry to the budget.
func (r *Request) AllowRetry(now time.Time, err error) bool {
	switch {
	case errors.Is(err, ErrFinal):
		return false
	case errors.Is(err, ErrNoUpstream), errors.Is(err, ErrPlannedRefusal):
		if r.unplacedSince.IsZero() {
			r.unplacedSince = now
		}
		return now.Sub(r.unplacedSince) < r.MaxPlacementWait
	case r.Started > 0 && !r.Repeatable:
		return false
	case r.MaxAttempts > 0 && r.Started >= r.MaxAttempts:
		return false
	}
	r.retries++
	if r.retries > r.MaxRetries {
		return false
	}
	// An attempt of which no byte was sent has put no load on any upstream, so its retry is free.
	return errors.Is(err, ErrNotSent) || r.Budget.Take()
}
