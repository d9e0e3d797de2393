package entry

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/activity"
	"rhubarbpoint/relay"
	"rhubarbpoint/traffic"
)

// slotTimeInterval is how often the slot time of a running stream is counted, so that the rates of a service do not lag
// by the length of its streams.
const slotTimeInterval = 500 * time.Millisecond

// routedActivity counts one routed request for package activity: as usage of its workspace, once, and as demand for its
// service.
type routedActivity struct {
	recorder *activity.Recorder
	// urgent is set if the request has the most urgent priority of its service.
	urgent bool
	// begun is set once the request was counted as begun. Concurrent attempts of the request share it.
	begun *atomic.Bool
	// placed is set once the request was placed, first once it got a first byte.
	placed, first bool
}

// offered counts the arrival of the request.
func (x *routedExchange) offered() {
	x.activity.recorder, x.activity.begun = x.routing.Activity, new(atomic.Bool)
	x.activity.urgent = x.priority <= x.table.MostUrgentPriority(x.service.Name)
	demand := activity.ServiceDemand{Requests: 1, PromptTokens: uint64(max(x.call.Prompt.Tokens, 0))}
	if x.activity.urgent {
		demand.UrgentRequests = 1
	}
	x.activity.recorder.RecordDemand(x.service.Name, demand)
}

// recordPlaced counts the uncached tokens at the first placement.
func (x *routedExchange) recordPlaced(uncached int) {
	if !x.activity.placed {
		x.activity.placed = true
		x.activity.recorder.RecordPlaced(x.service.Name, x.call.Prompt.Tokens, uncached)
	}
}

// recordFinished counts a request that was refused, and the prompt of one that was never placed.
func (x *routedExchange) recordFinished(failed *Error) {
	if !x.activity.placed {
		x.activity.recorder.RecordUnplaced(x.service.Name, x.call.Prompt.Tokens)
	}
	if failed == nil {
		return
	}
	switch failed.Code {
	case codeTooLate, codeNoUpstream, codeOverloaded:
		x.activity.recorder.RecordDemand(x.service.Name, activity.ServiceDemand{Refused: 1})
	}
}

// recordFirstByte counts a first byte to the caller after the target of the route.
func (x *routedExchange) recordFirstByte() {
	if x.activity.first {
		return
	}
	x.activity.first = true
	if x.route.TargetLatency > 0 && x.firstByteAt.Sub(x.call.Arrived) > x.route.TargetLatency {
		x.activity.recorder.RecordDemand(x.service.Name, activity.ServiceDemand{Late: 1})
	}
}

// recordFirstEvent counts a stream as begun at its first event: that is when its generation begins.
func (x *routedExchange) recordFirstEvent() {
	if x.activity.begun.CompareAndSwap(false, true) {
		x.activity.recorder.RecordBegun(x.call.Workspace, time.Now())
	}
}

// recordResponseBegun counts a request as begun whose response has just begun.
func (x *routedExchange) recordResponseBegun(sent time.Time, load *relay.Load) {
	if !x.activity.begun.CompareAndSwap(false, true) {
		return
	}
	waiting := 0
	if load != nil {
		waiting = load.Waiting
	}
	x.activity.recorder.RecordResponse(x.service.Name, x.call.Workspace, sent, waiting)
}

// recordNoResponse counts a request as begun when it was sent, if a replica may have run it and did not respond. A stream
// without a first event has not begun.
func (x *routedExchange) recordNoResponse(sent time.Time, err error) {
	if x.route.Kind == traffic.Stream || errors.Is(err, relay.ErrNotSent) || errors.Is(err, relay.ErrRefused) ||
		!x.activity.begun.CompareAndSwap(false, true) {
		return
	}
	x.activity.recorder.RecordBegun(x.call.Workspace, sent)
}

// slotTime counts the time for which a stream takes a batch slot of a replica.
type slotTime struct {
	exchange *routedExchange
	handoff  bool
	counted  time.Time
}

// beginSlotTime starts counting when a replica has accepted a stream.
func (x *routedExchange) beginSlotTime(handoff bool) *slotTime {
	return &slotTime{exchange: x, handoff: handoff, counted: time.Now()}
}

// advance counts the time since the last call, if it is slotTimeInterval or more.
func (s *slotTime) advance() {
	if time.Since(s.counted) >= slotTimeInterval {
		s.end()
	}
}

// end counts the time since the last call.
func (s *slotTime) end() {
	x := s.exchange
	if x.service.Engine == nil || x.activity.recorder == nil {
		return
	}
	taken := time.Since(s.counted).Truncate(time.Millisecond)
	s.counted = s.counted.Add(taken)
	millis := uint64(taken.Milliseconds())
	var demand activity.ServiceDemand
	if s.handoff {
		demand.HandoffSlotMillis = millis
	} else {
		demand.StreamSlotMillis = millis
	}
	if x.activity.urgent {
		demand.UrgentSlotMillis = millis
	}
	x.activity.recorder.RecordDemand(x.service.Name, demand)
}
