package bench

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

// clock is virtual time with its queue of events.
type clock struct {
	now  time.Duration
	seq  uint64
	heap eventHeap
}

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.heap, event{c.now + d, c.seq, run})
}

// advance runs all events up to the given time.
func (c *clock) advance(until time.Duration) {
	for len(c.heap) > 0 && c.heap[0].at <= until {
		e := heap.Pop(&c.heap).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}

// start is the time of day of virtual time 0. Decision code needs a time.Time.
var start = time.Unix(1_700_000_000, 0)

func (c *clock) time() time.Time { return start.Add(c.now) }

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
