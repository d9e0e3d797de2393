package memtopo

import (
	"time"

	"rhubarbpoint/topo"
)

// Fault is what happens to one call.
type Fault struct {
	// Delay passes before the call is executed.
	Delay time.Duration
	// Refuse fails the call with topo.ErrUnavailable, not executed.
	Refuse bool
	// LoseResponse executes the call and fails with topo.ErrAmbiguous, or with topo.ErrUnavailable for a read.
	LoseResponse bool
	// LateBy executes a write whose sender gave up during Delay, this long after that. Together with LoseAnswer, it
	// executes the write this long after the sender got topo.ErrAmbiguous.
	LateBy time.Duration
}

// Faults chooses the fault of each call. Next must be safe for concurrent use.
type Faults interface {
	Next(op topo.Op, key string) Fault
}

// NoFaults injects nothing.
type NoFaults struct{}

// Next implements Faults.
func (NoFaults) Next(topo.Op, string) Fault { return Fault{} }

// FaultFunc adapts a function to Faults.
type FaultFunc func(op topo.Op, key string) Fault

// Next implements Faults.
func (f FaultFunc) Next(op topo.Op, key string) Fault { return f(op, key) }
