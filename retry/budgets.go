package retry

import (
	"sync"
	"time"
)

// ServiceBudgets holds a Window for each service. It is safe for concurrent use.
type ServiceBudgets struct {
	share  float64
	window time.Duration

	mu sync.Mutex
	of map[string]*WindowBudget
}

// NewServiceBudgets returns budgets of share × requests in each window.
func NewServiceBudgets(share float64, window time.Duration) *ServiceBudgets {
	return &ServiceBudgets{share: share, window: window, of: make(map[string]*WindowBudget)}
}

// ForService returns the window of a service.
func (b *ServiceBudgets) ForService(service string) *WindowBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.of[service]
	if w == nil {
		w = NewWindowBudget(b.share, b.window)
		b.of[service] = w
	}
	return w
}
