// Package simclock implements the virtual clock of the simulators: an event queue that runs events in order of time
// without waiting. Events of the same time run in the order in which they were scheduled, so simulations are
// reproducible.
package simclock

import (
	"container/heap"
	"time"
)

// event is a function to run at a virtual time.
type event struct {
	at  time.Duration
	seq uint64 // orders events of the same time
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// Clock is a virtual clock with its event queue. The zero Clock is ready to use, at time 0. It is not safe for
// concurrent use.
type Clock struct {
	now  time.Duration
	seq  uint64
	heap eventHeap
}

// Now returns the virtual time since the start of the simulation.
func (c *Clock) Now() time.Duration { return c.now }

// After schedules a function to run after the given duration.
func (c *Clock) After(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.heap, event{c.now + d, c.seq, run})
}

// AdvanceTo runs all events up to and including the given time, also those that they schedule, and then sets the clock
// to it.
func (c *Clock) AdvanceTo(until time.Duration) {
	for len(c.heap) > 0 && c.heap[0].at <= until {
		e := heap.Pop(&c.heap).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}

// start is the wall clock time of virtual time 0.
var start = time.Unix(1_700_000_000, 0)

// Time returns the current virtual time as a wall clock time, for code that takes a time.Time.
func (c *Clock) Time() time.Time { return At(c.now) }

// At converts a virtual time to a wall clock time.
func At(d time.Duration) time.Time { return start.Add(d) }

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
