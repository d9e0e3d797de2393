package claim

import (
	"slices"
	"sync"

	"golang.org/x/time/rate"
)

// partition queues the records of one partition by slot.
type partition struct {
	number  int
	limiter *rate.Limiter

	mu      sync.Mutex
	pending map[int64][]*op
	waiting []int64 // slots with pending records, longest waiting first
	running bool    // a goroutine is committing
}

func newPartition(number int) *partition {
	return &partition{
		number:  number,
		limiter: rate.NewLimiter(writesPerSecond, writeBurst),
		pending: make(map[int64][]*op),
	}
}

// push queues a record and says whether the caller has to start a goroutine for the partition.
func (p *partition) push(o *op) (start bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	number := slotOf(o.minute)
	if len(p.pending[number]) == 0 {
		p.waiting = append(p.waiting, number)
	}
	p.pending[number] = append(p.pending[number], o)
	start = !p.running
	p.running = true
	return start
}

// next returns the slot that has waited longest with its records. Without any, the goroutine must end.
func (p *partition) next() (int64, []*op, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) == 0 {
		p.running = false
		return 0, nil, false
	}
	number := p.waiting[0]
	return number, p.takeLocked(number), true
}

// take returns the records that have arrived for a slot.
func (p *partition) take(number int64) []*op {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeLocked(number)
}

func (p *partition) takeLocked(number int64) []*op {
	ops := p.pending[number]
	delete(p.pending, number)
	p.waiting = slices.DeleteFunc(p.waiting, func(n int64) bool { return n == number })
	return ops
}

func (p *partition) queued() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, ops := range p.pending {
		total += len(ops)
	}
	return total
}
