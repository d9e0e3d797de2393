package resume

import (
	"maps"
	"slices"
	"sync"
	"time"

	"rhubarbpoint/upstream"
)

const (
	// minMemory is how long a version counts after its last replica has gone: the time that callers wait who name no deadline.
	// Longer deadlines extend it.
	minMemory = time.Minute
	// presentTime is the time within which a version that serves is seen again.
	presentTime = 5 * time.Second
)

// record holds the versions of each service, sorted, that may have open streams.
type record map[string][]string

// serviceVersion is a software version of a service.
type serviceVersion struct{ service, version string }

// versions keeps which software versions of each service may have begun streams that can still be taken up. It is safe for
// concurrent use.
type versions struct {
	mu        sync.Mutex
	startedAt time.Time
	memory    time.Duration
	// seen holds when a version was last seen among the replicas.
	seen map[serviceVersion]time.Time
	// recorded is what the store has, nil if that is unknown. recordedAt holds when this instance first saw it there.
	recorded   record
	recordedAt map[serviceVersion]time.Time
}

func newVersions(now time.Time) *versions {
	return &versions{startedAt: now, memory: minMemory, seen: make(map[serviceVersion]time.Time), recordedAt: make(map[serviceVersion]time.Time)}
}

// see records the versions of the listed replicas.
func (v *versions) see(now time.Time, replicas []upstream.Replica) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range replicas {
		v.seen[serviceVersion{replicas[i].Service, replicas[i].Version}] = now
	}
	maps.DeleteFunc(v.seen, func(_ serviceVersion, at time.Time) bool { return now.Sub(at) >= v.memory })
}

// extend makes versions count for at least as long as a caller waits.
func (v *versions) extend(wait time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.memory = max(v.memory, min(wait, maxTTL))
}

// setRecorded records what the store has; nil means that it has nothing readable.
func (v *versions) setRecorded(now time.Time, r record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.recordedAt
	v.recorded, v.recordedAt = r, make(map[serviceVersion]time.Time)
	for service, all := range r {
		for _, version := range all {
			key := serviceVersion{service, version}
			at, known := before[key]
			if !known {
				at = now
			}
			v.recordedAt[key] = at
		}
	}
}

// only returns the version of a service at which every stream that can be taken up has begun, or false if there are several
// or if it is not known which versions served before this instance started.
func (v *versions) only(now time.Time, service string) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.recorded == nil && now.Sub(v.startedAt) < v.memory {
		return "", false
	}
	possible := v.possible(service)
	if len(possible) != 1 {
		return "", false
	}
	return possible[0], true
}

// possible returns the versions of a service that may have open streams. The caller holds mu.
func (v *versions) possible(service string) []string {
	possible := slices.Clone(v.recorded[service])
	for seen := range v.seen {
		if seen.service == service {
			possible = append(possible, seen.version)
		}
	}
	slices.Sort(possible)
	return slices.Compact(possible)
}

// wanted returns what the store should have instead of what it has: the versions that serve, and those that it has until
// this instance has not seen them for as long as streams last. Versions that are gone are added only to a store without a
// record, so that instances whose memories end at different moments do not undo each other's removals.
func (v *versions) wanted(now time.Time, recorded record) record {
	v.mu.Lock()
	defer v.mu.Unlock()
	wanted := make(record)
	for seen, at := range v.seen {
		if recorded == nil || now.Sub(at) < presentTime || slices.Contains(recorded[seen.service], seen.version) {
			wanted[seen.service] = append(wanted[seen.service], seen.version)
		}
	}
	for key, at := range v.recordedAt {
		if now.Sub(at) < v.memory && slices.Contains(recorded[key.service], key.version) {
			wanted[key.service] = append(wanted[key.service], key.version)
		}
	}
	for service, all := range wanted {
		slices.Sort(all)
		wanted[service] = slices.Compact(all)
	}
	return wanted
}

// isRecorded reports whether the store has what it should have.
func (v *versions) isRecorded(now time.Time) bool {
	v.mu.Lock()
	recorded := v.recorded
	v.mu.Unlock()
	wanted := v.wanted(now, recorded)
	return len(wanted) == 0 || recorded != nil && maps.EqualFunc(recorded, wanted, slices.Equal)
}

// state returns the versions that may have open streams, and whether the store's record is known.
func (v *versions) state() (byService map[string][]string, recorded bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	byService = make(map[string][]string)
	for seen := range v.seen {
		byService[seen.service] = v.possible(seen.service)
	}
	return byService, v.recorded != nil
}
