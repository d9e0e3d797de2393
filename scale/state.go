package scale

import (
	"maps"
	"time"
)

// State is the part of the state dump about scaling. It is empty on an instance that does not hold the duties.
type State struct {
	Fence    int64                   `json:"fence,omitempty"`
	Services map[string]ServiceState `json:"services,omitempty"`
}

// ServiceState is the state of a service at the last decision.
type ServiceState struct {
	Figures Figures
	// Ordered has the numbers ordered last by kind and zone, Base those of preemptible replicas while all zones have
	// theirs.
	Ordered map[string]map[string]int
	Base    map[string]int
	// Unavailable has the kinds and zones without capacity, with the time since when in seconds.
	Unavailable map[string]map[string]float64
}

// Dump returns the state at the last decision.
func (c *Controller) Dump() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dump
}

func (c *Controller) setDump(s State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dump = s
}

func newServiceState(now time.Time, d *Decision, ordered map[Subject]int) ServiceState {
	s := ServiceState{
		Figures: d.Figures, Ordered: make(map[string]map[string]int), Base: maps.Clone(d.Memory.Base), Unavailable: make(map[string]map[string]float64),
	}
	for subject, n := range ordered {
		put(s.Ordered, subject, n)
	}
	for subject, since := range d.Memory.UnavailableSince {
		if age := now.Sub(since); age < unavailableTime {
			put(s.Unavailable, subject, age.Seconds())
		}
	}
	return s
}

func put[V any](m map[string]map[string]V, subject Subject, value V) {
	kind := subject.Kind.String()
	if m[kind] == nil {
		m[kind] = make(map[string]V)
	}
	m[kind][subject.Zone] = value
}
