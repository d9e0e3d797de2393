// Package retry provides retry budgets, backoff and the ejection of failing upstreams. Without a budget, retries
// multiply the load of a fleet that is already failing.
package retry

import "sync"

const (
	// budgetShare is the number of retries that each request adds to the budget.
	budgetShare = 0.1
	// budgetBurst is the largest balance. It lets all streams of one crashed engine be resumed at once.
	budgetBurst = 100
)

// Budget is a token bucket that allows retries for up to 10 % of the requests, with a bounded burst. It is safe for
// concurrent use.
type Budget struct {
	mu      sync.Mutex
	balance float64
}

// NewBudget returns a budget with a full balance.
func NewBudget() *Budget { return &Budget{balance: budgetBurst} }

// RecordRequest counts a new request, which adds to the balance.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(budgetBurst, b.balance+budgetShare)
}

// Take takes one retry from the budget. It returns false if the budget is exhausted.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Balance returns the number of retries left. The state dump shows it.
func (b *Budget) Balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance
}
