package memtopo

import (
	"time"

	"rhubarbpoint/topo"
)

// Fault describes what is injected into one call.
type Fault struct {
	// Delay passes before the call is executed.
	Delay time.Duration
	// Refuse fails the call with topo.ErrUnavailable and does not execute it.
	Refuse bool
	// LoseResponse executes the call and then fails it with topo.ErrAmbiguous, or with topo.ErrUnavailable for a read.
	LoseResponse bool
	// LateBy is the time after which a write is executed although its caller has given up: after the caller's context
	// ended during Delay, or, with LoseResponse, after the caller got topo.ErrAmbiguous.
	LateBy time.Duration
}

// Faults chooses the fault of each call. Next must be safe for concurrent use.
type Faults interface {
	Next(op topo.Op, key string) Fault
}

// NoFaults injects no faults.
type NoFaults struct{}

// Next implements Faults.
func (NoFaults) Next(topo.Op, string) Fault { return Fault{} }

// FaultFunc adapts a function to Faults.
type FaultFunc func(op topo.Op, key string) Fault

// Next implements Faults.
func (f FaultFunc) Next(op topo.Op, key string) Fault { return f(op, key) }
