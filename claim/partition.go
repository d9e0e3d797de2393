package claim

import (
	"slices"
	"sync"

	"golang.org/x/time/rate"
)

// partition queues the operations of one partition by slot.
type partition struct {
	number  int
	limiter *rate.Limiter

	mu         sync.Mutex
	queued     map[int64][]*op
	slotQueue  []int64 // numbers of the slots with queued operations, longest waiting first
	committing bool    // whether a goroutine is committing operations
}

func newPartition(number int) *partition {
	return &partition{
		number:  number,
		limiter: rate.NewLimiter(writesPerSecond, writeBurst),
		queued:  make(map[int64][]*op),
	}
}

// enqueue queues an operation and reports whether the caller has to start the partition's goroutine.
func (p *partition) enqueue(o *op) (start bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	slotNumber := slotOf(o.minute)
	if len(p.queued[slotNumber]) == 0 {
		p.slotQueue = append(p.slotQueue, slotNumber)
	}
	p.queued[slotNumber] = append(p.queued[slotNumber], o)
	start = !p.committing
	p.committing = true
	return start
}

// next returns the slot that has waited longest, with its queued operations. If it returns false, no operation is
// queued and the goroutine must end.
func (p *partition) next() (int64, []*op, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.slotQueue) == 0 {
		p.committing = false
		return 0, nil, false
	}
	slotNumber := p.slotQueue[0]
	return slotNumber, p.takeLocked(slotNumber), true
}

// take removes and returns the operations that are queued for a slot.
func (p *partition) take(slotNumber int64) []*op {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeLocked(slotNumber)
}

func (p *partition) takeLocked(slotNumber int64) []*op {
	ops := p.queued[slotNumber]
	delete(p.queued, slotNumber)
	p.slotQueue = slices.DeleteFunc(p.slotQueue, func(n int64) bool { return n == slotNumber })
	return ops
}

// queueLength returns the number of queued operations.
func (p *partition) queueLength() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, ops := range p.queued {
		total += len(ops)
	}
	return total
}
