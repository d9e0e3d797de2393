package simhedge

import "time"

// Result holds what callers got.
type Result struct {
	P50, P99, P999 time.Duration
	// Good is the share of the requests that were answered within playGood, Seconds the second attempts per request, Won
	// those of them that responded first.
	Good, Seconds, Won float64
	// Ejections counts how often an instance took a replica for a failing one.
	Ejections int
	// SlotTime is the time for which slots were in use, in seconds.
	SlotTime float64
	// Requests and SecondAttempts are when requests arrived and second attempts were sent.
	Requests, SecondAttempts []time.Duration
}
