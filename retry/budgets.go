package retry

import (
	"sync"
	"time"
)

// Budgets holds a Window for each service. It is safe for concurrent use.
type Budgets struct {
	share  float64
	window time.Duration

	mu sync.Mutex
	of map[string]*Window
}

// NewBudgets returns budgets of share × requests in each window.
func NewBudgets(share float64, window time.Duration) *Budgets {
	return &Budgets{share: share, window: window, of: make(map[string]*Window)}
}

// Of returns the window of a service.
func (b *Budgets) Of(service string) *Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.of[service]
	if w == nil {
		w = NewWindow(b.share, b.window)
		b.of[service] = w
	}
	return w
}
