package hedge

import (
	"sync"
	"time"
)

// Services holds the state of each service. It is safe for concurrent use.
type Services struct {
	share  float64
	window time.Duration

	mu       sync.Mutex
	services map[string]*Service
}

// NewServices returns the states of services that each allow share × requests second attempts in a sliding window.
func NewServices(share float64, window time.Duration) *Services {
	return &Services{share: share, window: window, services: make(map[string]*Service)}
}

// ForService returns the state of a service and creates it on first use.
func (s *Services) ForService(name string) *Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.services[name]
	if state == nil {
		state = NewService(s.share, s.window)
		s.services[name] = state
	}
	return state
}
