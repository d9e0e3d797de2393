package simfleet

import (
	"time"

	"rhubarbpoint/relay"
)

// request is one caller's request with all its tries.
type request struct {
	kind    *Kind
	zone    int
	arrived time.Duration
	prompt  relay.Prompt
	// own is the length of the prompt's last part.
	own int
	// events is the length of the answer.
	events int
	work   time.Duration
	// size is the worth relative to the mean of the kind.
	size float64

	tries   int
	refused int
	// first and last are when the caller got the first and the last event, pause the longest time between two.
	first, last, pause time.Duration
	got                int
	outcome            outcome
}

// outcome is how a request ended for its caller.
type outcome int

const (
	pending outcome = iota
	inTime
	late
	refused
	failed
)

func (r *request) target() time.Duration   { return r.arrived + millis(r.kind.Target) }
func (r *request) deadline() time.Duration { return r.arrived + millis(r.kind.Deadline) }

// event notes that the caller gets one event.
func (r *request) event(now time.Duration) {
	if r.got == 0 {
		r.first = now
	} else {
		r.pause = max(r.pause, now-r.last)
	}
	r.last = now
	r.got++
}

// complete returns the outcome of a request with its whole answer.
func (r *request) complete() outcome {
	switch {
	case r.last > r.deadline():
		return failed
	case r.first > r.target() || r.kind.MaxEventGap > 0 && r.pause > millis(r.kind.MaxEventGap):
		return late
	}
	return inTime
}

// credit is what the request has earned.
func (r *request) credit() float64 {
	switch r.outcome {
	case inTime:
		return r.kind.Credit * r.size
	case late:
		return r.kind.LateCredit * r.size
	}
	return 0
}
