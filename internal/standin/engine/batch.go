package engine

import (
	"slices"
	"time"
)

// prefillChunk is the number of prompt tokens that one step processes next to decoding, so that a long prompt does not
// stall the requests that decode.
const prefillChunk = 2048

// batch holds the requests of an engine. It is guarded by the engine's mutex.
type batch struct {
	running  []*job
	waiting  []*job
	stepping bool
	arrivals []time.Time
	// lastStep is the duration of the latest decode step.
	lastStep time.Duration
}

func (b *batch) size() int { return len(b.running) + len(b.waiting) }

// add queues a job after all waiting jobs of the same or a higher priority.
func (b *batch) add(now time.Time, j *job) {
	index := len(b.waiting)
	for index > 0 && b.waiting[index-1].req.Priority < j.req.Priority {
		index--
	}
	b.waiting = slices.Insert(b.waiting, index, j)
	b.arrivals = append(b.arrivals, now)
}

func (b *batch) remove(j *job) {
	same := func(other *job) bool { return other == j }
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting = slices.DeleteFunc(b.waiting, same)
}

// plan returns the job whose prompt the next step processes, the number of its tokens to process, and the jobs that
// decode in that step.
func (b *batch) plan() (prefill *job, chunk int, decode []*job) {
	for _, j := range b.running {
		switch {
		case j.prefillLeft == 0:
			decode = append(decode, j)
		case prefill == nil:
			prefill, chunk = j, min(j.prefillLeft, prefillChunk)
		}
	}
	return prefill, chunk, decode
}
