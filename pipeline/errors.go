package pipeline

import "github.com/cockroachdb/errors"

// Marks on the errors of an executor. They decide what the pipeline does next. An error without any of them comes from
// an attempt that may have run.
var (
	// ErrFinal marks an error after which the request must not be retried.
	ErrFinal = errors.New("pipeline: final")
	// ErrNoUpstream marks an error because no upstream accepts the request at present. Nothing was sent.
	ErrNoUpstream = errors.New("pipeline: no upstream")
	// ErrPlannedRefusal marks a refusal because of a planned change. Retries after it are not charged to the retry
	// budget, which is for faults.
	ErrPlannedRefusal = errors.New("pipeline: planned refusal")
	// ErrNotRun marks a failed attempt that is known not to have run.
	ErrNotRun = errors.New("pipeline: not run")
	// ErrNotSent marks a failed attempt of which no byte was sent.
	ErrNotSent = errors.New("pipeline: not sent")
)
