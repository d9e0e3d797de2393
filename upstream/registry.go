// Package upstream keeps the replicas that may receive requests, as discovery and the replicas' own answers tell.
package upstream

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Registry holds the replicas of all services. It is safe for concurrent use. Its lock is a leaf: nothing is called
// while it is held.
type Registry struct {
	mu       sync.Mutex
	replicas map[string]*member
	services map[string][]*Replica // the slices are never modified
	// stale says that services must be rebuilt before its next use. Changes come by thousands when an instance starts.
	stale    bool
	departed map[Incarnation]time.Time
}

// member is a listed replica. Its record is replaced, never modified, since requests may hold it.
type member struct {
	replica *Replica
	// missing is since when discovery no longer lists the replica although the list may be incomplete.
	missing time.Time
}

// departedMemory is how long a replica that refused work because it leaves is remembered. Discovery reports the same
// within seconds.
const departedMemory = 30 * time.Second

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{replicas: make(map[string]*member), departed: make(map[Incarnation]time.Time)}
}

// Put adds a replica or replaces its description. It reports whether anything that matters to requests changed.
func (r *Registry) Put(replica Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.replicas[replica.ID]
	if old != nil && old.missing.IsZero() && *old.replica == replica {
		return false
	}
	r.replicas[replica.ID] = &member{replica: &replica}
	r.stale = true
	return true
}

// Remove drops a replica. It reports whether it was listed.
func (r *Registry) Remove(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replicas[id] == nil {
		return false
	}
	delete(r.replicas, id)
	r.stale = true
	return true
}

// MarkMissing notes that discovery does not list a replica while its list may be incomplete. The replica stays in use until
// DropMissing.
func (r *Registry) MarkMissing(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.replicas[id]; m != nil && m.missing.IsZero() {
		m.missing = now
	}
}

// DropMissing drops the replicas that were noted as missing and have not been listed since, and returns their IDs.
func (r *Registry) DropMissing() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var dropped []string
	for id, m := range r.replicas {
		if !m.missing.IsZero() {
			delete(r.replicas, id)
			dropped = append(dropped, id)
		}
	}
	if len(dropped) > 0 {
		r.stale = true
	}
	slices.Sort(dropped)
	return dropped
}

// MarkLeaving excludes one start of a replica from new requests because it said itself that it leaves.
func (r *Registry) MarkLeaving(now time.Time, start Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.departed, func(_ Incarnation, at time.Time) bool { return now.Sub(at) > departedMemory })
	if _, known := r.departed[start]; known {
		return false
	}
	r.departed[start] = now
	r.stale = true
	return true
}

// MarkLeavingByID is Depart for the listed start of a replica, if it is the one that was born then.
func (r *Registry) MarkLeavingByID(now time.Time, id string, born int64) {
	r.mu.Lock()
	m := r.replicas[id]
	r.mu.Unlock()
	if m != nil && m.replica.Born == born {
		r.MarkLeaving(now, m.replica.Incarnation())
	}
}

// IDs returns the IDs of all listed replicas.
func (r *Registry) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.replicas))
}

// Available returns the replicas of a service that take new requests, in order of their IDs. The slice must not be modified.
func (r *Registry) Available(service string) []*Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale {
		r.rebuild()
	}
	return r.services[service]
}

// All returns all listed replicas, draining ones included.
func (r *Registry) All() []Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Replica, 0, len(r.replicas))
	for _, m := range r.replicas {
		all = append(all, *m.replica)
	}
	slices.SortFunc(all, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Usable says whether a start of a replica still takes new requests.
func (r *Registry) Usable(start Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.replicas[start.ID]
	if m == nil || m.replica.Draining || m.replica.Incarnation() != start {
		return false
	}
	_, left := r.departed[start]
	return !left
}

func (r *Registry) rebuild() {
	r.stale = false
	r.services = make(map[string][]*Replica)
	for _, m := range r.replicas {
		if _, left := r.departed[m.replica.Incarnation()]; left || m.replica.Draining {
			continue
		}
		r.services[m.replica.Service] = append(r.services[m.replica.Service], m.replica)
	}
	for _, list := range r.services {
		slices.SortFunc(list, func(a, b *Replica) int { return cmp.Compare(a.ID, b.ID) })
	}
}
