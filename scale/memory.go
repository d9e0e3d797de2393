package scale

import (
	"maps"
	"slices"
	"time"
)

// Memory is what one decision about a service leaves to the next one on the same instance. It is not durable: a
// successor starts without it and leaves the numbers as they were ordered until it has seen the demand. Its maps and
// slices are never modified, so that a decision can be discarded.
type Memory struct {
	// Samples of the demand within the window, oldest first.
	Samples []Sample
	// Base is the number of preemptible replicas of each zone while all zones have theirs.
	Base map[string]int
	// AboveSince is the time since which Base of a zone has been above what the demand needs.
	AboveSince map[string]time.Time
	// OrderedAt is the time of the last order.
	OrderedAt map[Subject]time.Time
	// UnavailableSince is the time at which an order for more replicas was last refused or a reclaim was seen.
	UnavailableSince map[Subject]time.Time
	// MovedAt is the last time at which a zone carried the share of another one.
	MovedAt time.Time
	// PressureAt is the last time at which requests were refused or late, Boost the factor on the need because of it (0
	// means 1) and BoostedAt the time of its last increase.
	PressureAt time.Time
	Boost      float64
	BoostedAt  time.Time
	// Reserve is the number of on-demand replicas kept, 0 before the first decision.
	Reserve int
	// Urgent is the number of on-demand replicas beyond the reserve, and UrgentAt the last time at which they were needed.
	Urgent   int
	UrgentAt time.Time
}

func (m Memory) clone() Memory {
	m.Samples = slices.Clone(m.Samples)
	m.Base = cloneMap(m.Base)
	m.AboveSince = cloneMap(m.AboveSince)
	m.OrderedAt = cloneMap(m.OrderedAt)
	m.UnavailableSince = cloneMap(m.UnavailableSince)
	return m
}

// WithUnavailable returns the memory after an order for more replicas was refused for lack of capacity.
func (m Memory) WithUnavailable(now time.Time, subject Subject) Memory {
	m.UnavailableSince = cloneMap(m.UnavailableSince)
	m.UnavailableSince[subject] = now
	return m
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}
