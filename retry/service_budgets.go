package retry

import (
	"sync"
	"time"
)

// Budgets holds a retry budget for each service. It is safe for concurrent use.
type Budgets struct {
	share  float64
	window time.Duration

	mu      sync.Mutex
	windows map[string]*Window
}

// NewBudgets returns a set of budgets that each allow share × requests retries in a sliding window.
func NewBudgets(share float64, window time.Duration) *Budgets {
	return &Budgets{share: share, window: window, windows: make(map[string]*Window)}
}

// Of returns the budget of a service and creates it on first use.
func (b *Budgets) Of(service string) *Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windows[service]
	if w == nil {
		w = NewWindow(b.share, b.window)
		b.windows[service] = w
	}
	return w
}
