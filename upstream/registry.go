// Package upstream keeps the replicas that may receive requests, as known from discovery and from the replicas'
// responses.
package upstream

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Registry holds the replicas of all services. It is safe for concurrent use. No other lock is taken while its lock is
// held.
type Registry struct {
	mu       sync.Mutex
	replicas map[string]*listing
	services map[string][]*Replica // the slices are never modified
	// stale is set if services must be rebuilt before its next use. It is not rebuilt at each change, because thousands
	// of changes arrive when an instance starts.
	stale   bool
	leaving map[Incarnation]time.Time
}

// listing is a replica in the registry. The Replica is replaced, never modified, because requests may use it.
type listing struct {
	replica *Replica
	// missingSince is the time since which discovery has not listed the replica, in lists that may be incomplete. It is
	// zero if the latest list contains the replica.
	missingSince time.Time
}

// leavingTTL is how long an incarnation that reported that it is leaving is remembered. An instance that is cut off does
// not learn of its end from discovery. A replica that reports it falsely is excluded for as long.
const leavingTTL = 10 * time.Minute

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{replicas: make(map[string]*listing), leaving: make(map[Incarnation]time.Time)}
}

// Put adds a replica or replaces its description. It reports whether the replica is new, had been missing or has a
// different description.
func (r *Registry) Put(replica Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.replicas[replica.ID]
	if old != nil && old.missingSince.IsZero() && *old.replica == replica {
		return false
	}
	r.replicas[replica.ID] = &listing{replica: &replica}
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

// MarkMissing records that discovery does not list a replica, in a list that may be incomplete. The replica stays in
// use until DropMissing is called.
func (r *Registry) MarkMissing(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.replicas[id]; l != nil && l.missingSince.IsZero() {
		l.missingSince = now
	}
}

// DropMissing drops the replicas that were recorded as missing and have not been listed since, and returns their IDs.
func (r *Registry) DropMissing() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var dropped []string
	for id, l := range r.replicas {
		if !l.missingSince.IsZero() {
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

// MarkLeaving excludes an incarnation of a replica from new requests because the replica itself reported that it is
// leaving. It returns false if that was known.
func (r *Registry) MarkLeaving(now time.Time, incarnation Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.leaving[incarnation]; known {
		return false
	}
	r.leaving[incarnation] = now
	r.stale = true
	return true
}

// ExpireLeaving forgets reports of leaving replicas that are older than leavingTTL.
func (r *Registry) ExpireLeaving(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := len(r.leaving)
	maps.DeleteFunc(r.leaving, func(_ Incarnation, at time.Time) bool { return now.Sub(at) > leavingTTL })
	r.stale = r.stale || len(r.leaving) < before
}

// MarkLeavingByID is MarkLeaving for the listed incarnation of a replica. It does nothing if that incarnation has
// another start time than born.
func (r *Registry) MarkLeavingByID(now time.Time, id string, born int64) {
	r.mu.Lock()
	l := r.replicas[id]
	r.mu.Unlock()
	if l != nil && l.replica.Born == born {
		r.MarkLeaving(now, l.replica.Incarnation())
	}
}

// Listed returns the listed incarnation of a replica, or false if none is listed.
func (r *Registry) Listed(id string) (Incarnation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.replicas[id]
	if l == nil {
		return Incarnation{}, false
	}
	return l.replica.Incarnation(), true
}

// IDs returns the IDs of all listed replicas.
func (r *Registry) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.replicas))
}

// Available returns the replicas of a service that accept new requests, in order of their IDs. The slice must not be
// modified.
func (r *Registry) Available(service string) []*Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale {
		r.rebuild()
	}
	return r.services[service]
}

// All returns all listed replicas in order of their IDs, including draining and leaving ones.
func (r *Registry) All() []Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Replica, 0, len(r.replicas))
	for _, l := range r.replicas {
		all = append(all, *l.replica)
	}
	slices.SortFunc(all, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Usable reports whether an incarnation of a replica is listed and accepts new requests.
func (r *Registry) Usable(incarnation Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.replicas[incarnation.ID]
	if l == nil || l.replica.Draining || l.replica.Incarnation() != incarnation {
		return false
	}
	_, leaving := r.leaving[incarnation]
	return !leaving
}

// rebuild rebuilds services from replicas. The caller holds the lock.
func (r *Registry) rebuild() {
	r.stale = false
	r.services = make(map[string][]*Replica)
	for _, l := range r.replicas {
		if _, leaving := r.leaving[l.replica.Incarnation()]; leaving || l.replica.Draining {
			continue
		}
		r.services[l.replica.Service] = append(r.services[l.replica.Service], l.replica)
	}
	for _, list := range r.services {
		slices.SortFunc(list, func(a, b *Replica) int { return cmp.Compare(a.ID, b.ID) })
	}
}
