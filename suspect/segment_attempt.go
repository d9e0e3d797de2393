package suspect

import "time"

// AttemptResult says what an attempt tells about the segments of its prompt.
type AttemptResult int

const (
	// Unresolved attempts ended without a complete answer, for whatever reason.
	Unresolved AttemptResult = iota
	// NotRun attempts were not run by the engine.
	NotRun
	// Answered attempts got a complete answer.
	Answered
	// Crashed attempts ended with a crash of the engine.
	Crashed
)

// SegmentAttempt is one attempt at a request on one engine. Its fields are guarded by the table's mutex.
type SegmentAttempt struct {
	table    *SegmentTable
	crash    crashID // the ID that a crash of the engine has
	engine   string
	segments []Segment
	trial    bool
	endedAt  time.Time // zero while the attempt runs
}

// End records the result of the attempt. Further calls do nothing.
func (a *SegmentAttempt) End(now time.Time, result AttemptResult) { a.table.end(now, a, result) }
