package place

import (
	"math/rand/v2"

	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/relay"
	"rhubarbpoint/upstream"
)

// Copy returns a Balancer that makes the same next choice for a prompt of the given segments, and shares no state with b.
// Its estimates of caches hold only these segments, so that the lock of b is held for a short time, also with hundreds of
// replicas. It neither logs nor counts.
func (b *Balancer) Copy(segments []relay.PromptSegment) *Balancer {
	b.mu.Lock()
	defer b.mu.Unlock()
	opts := b.opts
	opts.Logger, opts.Metrics = nil, metrics.NewRegistry()
	source := *b.source
	c := &Balancer{
		opts: opts, source: &source, random: rand.New(&source),
		states:   make(map[upstream.Incarnation]*replicaState, len(b.states)),
		services: make(map[string]*serviceStats, len(b.services)),
	}
	speeds := make(map[*replicaSpeed]*replicaSpeed)
	for name, stats := range b.services {
		c.services[name] = stats.copy(speeds)
	}
	for incarnation, state := range b.states {
		copied := *state
		copied.speed = speeds[state.speed]
		if state.limit != nil {
			limit := *state.limit
			copied.limit = &limit
		}
		if state.cache != nil {
			copied.cache = state.cache.Subset(segments)
		}
		c.states[incarnation] = &copied
	}
	return c
}

// copy returns a deep copy. It records the copy of each replica's speed in speeds.
func (s *serviceStats) copy(speeds map[*replicaSpeed]*replicaSpeed) *serviceStats {
	copied := *s
	if s.speeds == nil {
		return &copied
	}
	service := *s.speeds
	service.replicas = make([]*replicaSpeed, len(s.speeds.replicas))
	for i, r := range s.speeds.replicas {
		speed := *r
		service.replicas[i], speeds[r] = &speed, &speed
	}
	copied.speeds = &service
	return &copied
}
