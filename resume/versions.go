package resume

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"rhubarbpoint/topo"
	"rhubarbpoint/upstream"
)

const (
	// minMemory is how long a version counts after its last replica has gone: the time that callers wait who name no deadline.
	// Longer deadlines extend it.
	minMemory = time.Minute
	// presentTime is the time within which a version that serves is seen again.
	presentTime = 5 * time.Second
	// retireTime is how long a version is marked before it is removed. By then every instance that follows the store, or has until
	// staleTime ago, knows the mark, and begins no stream at the version without removing it.
	retireTime = 20 * time.Second
	// restoreTime is the time within which the record of a restored store has the versions again that serve.
	restoreTime = 5 * time.Second
)

// serviceVersion is a software version of a service.
type serviceVersion struct{ service, version string }

// sighting says when a version was seen among the replicas.
type sighting struct{ first, last time.Time }

// versions keeps which software versions of each service may have begun streams that can still be taken up. It is safe for
// concurrent use.
type versions struct {
	mu        sync.Mutex
	startedAt time.Time
	memory    time.Duration
	seen      map[serviceVersion]sighting
	// recorded is what the store has, nil if that is unknown, at a revision. recordedAt holds since when this instance has known
	// it there while it followed the store.
	recorded   *record
	revision   int64
	recordedAt map[serviceVersion]time.Time
	// markedAt holds since when this instance has known the mark of a version that is about to be removed.
	markedAt map[serviceVersion]time.Time
	// open reports whether this instance knows a stream of a version that can still be taken up.
	open func(version string) bool
	// doubtedUntil is when the record has been written anew since the store was restored from a copy, as this instance has seen by
	// its revisions. It may lack versions before.
	doubtedUntil time.Time
	// changed is closed when recorded changes.
	changed chan struct{}
}

func newVersions(now time.Time, open func(version string) bool) *versions {
	return &versions{
		startedAt: now, memory: minMemory, seen: make(map[serviceVersion]sighting), recordedAt: make(map[serviceVersion]time.Time),
		markedAt: make(map[serviceVersion]time.Time), open: open, changed: make(chan struct{}),
	}
}

// see records the versions of the listed replicas.
func (v *versions) see(now time.Time, replicas []upstream.Replica) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range replicas {
		v.sight(now, serviceVersion{replicas[i].Service, replicas[i].Version})
	}
	maps.DeleteFunc(v.seen, func(_ serviceVersion, s sighting) bool { return now.Sub(s.last) >= v.memory })
}

// seeOne records a version of a listed replica. It reports whether the version is not recorded.
func (v *versions) seeOne(now time.Time, key serviceVersion) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sight(now, key)
	return !v.recorded.isUsable(key)
}

// begin records that a stream begins at a version here.
func (v *versions) begin(now time.Time, key serviceVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sight(now, key)
}

// sight records that a version was seen. The caller holds mu.
func (v *versions) sight(now time.Time, key serviceVersion) {
	s, known := v.seen[key]
	if !known {
		s.first = now
	}
	s.last = now
	v.seen[key] = s
}

// firstSeen returns when a version was first seen, or the zero time.
func (v *versions) firstSeen(key serviceVersion) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seen[key].first
}

// extend makes versions count for at least as long as a caller waits.
func (v *versions) extend(wait time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.memory = max(v.memory, min(wait, maxTTL))
}

// setRecorded records what the store has at a revision, unless a later one is known; nil means that it has nothing readable, and
// revision 0 that it has no entry.
func (v *versions) setRecorded(now time.Time, revision int64, r *record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision != 0 && revision < v.revision {
		return
	}
	if v.revision > 0 && topo.Era(revision) > topo.Era(v.revision) && topo.Restored(revision) {
		v.doubtedUntil = now.Add(restoreTime)
	}
	v.revision = max(v.revision, revision)
	before, recordedAt, markedAt := v.recorded, v.recordedAt, v.markedAt
	v.recorded, v.recordedAt, v.markedAt = r, make(map[serviceVersion]time.Time), make(map[serviceVersion]time.Time)
	for _, key := range r.all() {
		mark, earlier := r.retiring[key], ""
		if before != nil {
			earlier = before.retiring[key]
		}
		at, known := recordedAt[key]
		if !known || earlier != "" && mark == "" {
			at = now // another instance has a reason to keep it
		}
		v.recordedAt[key] = at
		if mark == "" {
			continue
		}
		if at, known = markedAt[key]; !known || mark != earlier {
			at = now
		}
		v.markedAt[key] = at
	}
	close(v.changed)
	v.changed = make(chan struct{})
}

// doubt makes all recorded versions count from now on, because this instance has not followed the store: a version that it has not
// seen may have served meanwhile.
func (v *versions) doubt(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for key := range v.recordedAt {
		v.recordedAt[key] = now
	}
	for key := range v.markedAt {
		v.markedAt[key] = now
	}
}

// doubted reports whether the record may lack versions with open streams, because the store was restored.
func (v *versions) doubted(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Before(v.doubtedUntil)
}

// isRestored reports whether the store had been restored before it got its record.
func (v *versions) isRestored() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return topo.Restored(v.revision)
}

// isListed reports whether a stream can begin at a version by the record as it is known.
func (v *versions) isListed(service, version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.recorded.isUsable(serviceVersion{service, version})
}

// waitListed waits until a stream can begin at a version by the record, for at most the time given.
func (v *versions) waitListed(ctx context.Context, key serviceVersion, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		v.mu.Lock()
		listed, changed := v.recorded.isUsable(key), v.changed
		v.mu.Unlock()
		if listed {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// listed returns the versions of a service at which a stream can begin by the record, and whether these are all that serve.
func (v *versions) listed(now time.Time, service string) (versions []string, all bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, key := range v.recorded.all() {
		if key.service == service && v.recorded.isUsable(key) {
			versions = append(versions, key.version)
		}
	}
	for key, s := range v.seen {
		if key.service == service && now.Sub(s.last) < presentTime && !slices.Contains(versions, key.version) {
			return versions, false
		}
	}
	return versions, true
}

// only returns the version of a service at which every stream that can be taken up has begun, as far as this instance knows, or
// false if there are several or if it is not known which versions served before this instance started.
func (v *versions) only(now time.Time, service string) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Before(v.doubtedUntil) || v.recorded == nil && now.Sub(v.startedAt) < v.memory {
		return "", false
	}
	possible := v.possible(service, v.recorded)
	if len(possible) != 1 {
		return "", false
	}
	return possible[0], true
}

// onlyIn is only for a record that has just been read. Versions that it lacks count too: a stream may have begun at one while
// the record could not be written.
func (v *versions) onlyIn(now time.Time, r *record, service string) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r == nil || now.Before(v.doubtedUntil) {
		return "", false
	}
	possible := v.possible(service, r)
	if len(possible) != 1 {
		return "", false
	}
	return possible[0], true
}

// possible returns the versions of a service that may have open streams by a record and by what was seen. The caller holds mu.
func (v *versions) possible(service string, r *record) []string {
	var possible []string
	if r != nil {
		possible = slices.Clone(r.versions[service])
	}
	for key := range v.seen {
		if key.service == service {
			possible = append(possible, key.version)
		}
	}
	slices.Sort(possible)
	return slices.Compact(possible)
}

// wanted returns what the store should have instead of what it has: the versions that serve, and those that it has until this
// instance has not seen them for as long as streams last. A version is marked before that and removed later, so that a stream can
// begin at it meanwhile, which takes the mark away. Versions that are gone are added only to a store without a record, so that
// instances whose memories end at different moments do not undo each other's removals.
func (v *versions) wanted(now time.Time, recorded *record) *record {
	v.mu.Lock()
	defer v.mu.Unlock()
	wanted := newRecord()
	for key, s := range v.seen {
		if recorded == nil || now.Sub(s.last) < presentTime {
			wanted.add(key, "")
		}
	}
	for _, key := range recorded.all() {
		known := v.recordedAt[key]
		if s := v.seen[key]; s.last.After(known) {
			known = s.last
		}
		mark, gone := recorded.retiring[key], now.Sub(known)
		switch {
		case wanted.has(key):
		case mark == "" && gone < v.memory-retireTime, v.open(key.version):
			wanted.add(key, "")
		case mark == "":
			wanted.add(key, newMark())
		case gone < v.memory || now.Sub(v.markedAt[key]) < retireTime:
			wanted.add(key, mark)
		}
	}
	return wanted
}

// newMark returns a mark that no other one equals.
func newMark() string { return strconv.FormatUint(rand.Uint64(), 36) }

// keepsMarked reports whether a version is about to be removed of which this instance knows a stream that can be taken up.
func (v *versions) keepsMarked() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.recorded == nil {
		return false
	}
	for key := range v.recorded.retiring {
		if v.open(key.version) {
			return true
		}
	}
	return false
}

// isRecorded reports whether the store has what it should have.
func (v *versions) isRecorded(now time.Time) bool {
	v.mu.Lock()
	recorded := v.recorded
	v.mu.Unlock()
	wanted := v.wanted(now, recorded)
	return len(wanted.versions) == 0 || recorded != nil && recorded.equal(wanted)
}

// state returns the versions that may have open streams, and whether the store's record is known.
func (v *versions) state() (byService map[string][]string, recorded bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	byService = make(map[string][]string)
	for key := range v.seen {
		byService[key.service] = v.possible(key.service, v.recorded)
	}
	return byService, v.recorded != nil
}
