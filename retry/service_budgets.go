package retry

import (
	"sync"
	"time"
)

// ServiceBudgets holds a retry budget for each service. It is safe for concurrent use.
type ServiceBudgets struct {
	share  float64
	window time.Duration

	mu      sync.Mutex
	budgets map[string]*WindowBudget
}

// NewServiceBudgets returns a set of budgets that each allow share × requests retries in a sliding window.
func NewServiceBudgets(share float64, window time.Duration) *ServiceBudgets {
	return &ServiceBudgets{share: share, window: window, budgets: make(map[string]*WindowBudget)}
}

// ForService returns the budget of a service and creates it on first use.
func (b *ServiceBudgets) ForService(service string) *WindowBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.budgets[service]
	if w == nil {
		w = NewWindowBudget(b.share, b.window)
		b.budgets[service] = w
	}
	return w
}
