package simfleet

import (
	"time"

	"rhubarbpoint/relay"
)

// request is one caller's request. If it is refused, the caller sends it again, at most Kind.CallerRetries times.
type request struct {
	kind    *Kind
	zone    int
	arrived time.Duration
	prompt  relay.Prompt
	// ownTokens is the length of the prompt's last segment.
	ownTokens int
	// events is the number of events of the completion.
	events      int
	serviceTime time.Duration
	// creditFactor is the credit relative to the mean of the kind.
	creditFactor float64

	tries    int // how often the caller has sent the request
	refusals int
	// firstEvent and lastEvent are when the caller received the first and the latest event, maxGap is the longest time
	// between two events.
	firstEvent, lastEvent, maxGap time.Duration
	received                      int
	outcome                       outcome
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

// receiveEvent records that the caller has received an event.
func (r *request) receiveEvent(now time.Duration) {
	if r.received == 0 {
		r.firstEvent = now
	} else {
		r.maxGap = max(r.maxGap, now-r.lastEvent)
	}
	r.lastEvent = now
	r.received++
}

// completionOutcome returns the outcome of a request whose caller has received the complete response.
func (r *request) completionOutcome() outcome {
	switch {
	case r.lastEvent > r.deadline():
		return failed
	case r.firstEvent > r.target() || r.kind.MaxEventGap > 0 && r.maxGap > millis(r.kind.MaxEventGap):
		return late
	}
	return inTime
}

// credit returns the credit that the request has earned.
func (r *request) credit() float64 {
	switch r.outcome {
	case inTime:
		return r.kind.Credit * r.creditFactor
	case late:
		return r.kind.LateCredit * r.creditFactor
	}
	return 0
}
