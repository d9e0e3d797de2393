// Package retry bounds and spaces repeated attempts, and keeps apart upstreams that fail. Without a bound, retries
// multiply the load of a fleet that is already failing.
package retry

import "sync"

const (
	// budgetShare is the number of retries that each request allows.
	budgetShare = 0.1
	// budgetBurst is the number of retries that can come at once, so that the streams of one dead engine can all go on.
	budgetBurst = 100
)

// Budget allows retries for up to 10 % of the requests, with a bounded burst. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	balance float64
}

// NewBudget returns a budget with a full burst.
func NewBudget() *Budget { return &Budget{balance: budgetBurst} }

// RecordRequest counts a new request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(budgetBurst, b.balance+budgetShare)
}

// Take allows a retry and counts it, or returns false.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Balance returns the number of retries left, for the state dump.
func (b *Budget) Balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance
}
