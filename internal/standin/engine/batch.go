package engine

import (
	"slices"
	"time"
)

// prefillChunk is the part of a prompt that is processed beside one decode step, so that a long prompt does not stop
// the running answers.
const prefillChunk = 2048

// batch holds the requests of an engine. It is guarded by the engine's mutex.
type batch struct {
	running  []*job
	waiting  []*job
	stepping bool
	arrivals []time.Time
	// step is the length of the latest decode step.
	step time.Duration
}

func (b *batch) size() int { return len(b.running) + len(b.waiting) }

// add queues a job behind those of the same or higher priority.
func (b *batch) add(now time.Time, j *job) {
	at := len(b.waiting)
	for at > 0 && b.waiting[at-1].req.Priority < j.req.Priority {
		at--
	}
	b.waiting = slices.Insert(b.waiting, at, j)
	b.arrivals = append(b.arrivals, now)
}

func (b *batch) remove(j *job) {
	same := func(other *job) bool { return other == j }
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting = slices.DeleteFunc(b.waiting, same)
}

// plan returns the job whose prompt is processed next, the size of that piece, and the jobs that decode.
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
