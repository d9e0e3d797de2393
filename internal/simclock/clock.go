// Package simclock is the virtual clock of the simulators: a queue of events that runs them in order of time without
// waiting. The same events in the same order give the same run.
package simclock

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at  time.Duration
	seq uint64 // order of equal times
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

// Clock is virtual time with its queue of events. The zero Clock stands at time 0. It is for one goroutine.
type Clock struct {
	now  time.Duration
	seq  uint64
	heap eventHeap
}

// Now returns the virtual time since the start.
func (c *Clock) Now() time.Duration { return c.now }

// After runs a function when the given time has passed.
func (c *Clock) After(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.heap, event{c.now + d, c.seq, run})
}

// AdvanceTo runs all events up to the given time.
func (c *Clock) AdvanceTo(until time.Duration) {
	for len(c.heap) > 0 && c.heap[0].at <= until {
		e := heap.Pop(&c.heap).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}

// start is the time of day of virtual time 0.
var start = time.Unix(1_700_000_000, 0)

// Time returns the time of day, which decision code needs.
func (c *Clock) Time() time.Time { return At(c.now) }

// At returns the time of day at a virtual time.
func At(d time.Duration) time.Time { return start.Add(d) }

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
