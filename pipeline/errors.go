package pipeline

import "github.com/cockroachdb/errors"

// Marks on the errors of an exchange. They decide what the pipeline does next; an error without a mark comes from an
// attempt that may have run.
var (
	// ErrFinal marks an error that no further attempt can mend.
	ErrFinal = errors.New("pipeline: final")
	// ErrNoUpstream marks an error because no upstream takes the request at present. Nothing was sent.
	ErrNoUpstream = errors.New("pipeline: no upstream")
	// ErrPlannedRefusal marks a refusal by a planned change, which must not use up what protects against faults.
	ErrPlannedRefusal = errors.New("pipeline: planned refusal")
	// ErrNotRun marks a failed attempt that certainly did not run.
	ErrNotRun = errors.New("pipeline: not run")
	// ErrNotSent marks a failed attempt of which no byte left.
	ErrNotSent = errors.New("pipeline: not sent")
)
