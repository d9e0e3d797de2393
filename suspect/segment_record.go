package suspect

import (
	"maps"
	"slices"
	"time"
)

// maxCrashesPerSegment bounds the crashes that a record holds. A segment is refused long before.
const maxCrashesPerSegment = 32

// roundTime is the time within which all instances notice the crashes of engines that crash together.
const roundTime = 2 * time.Second

// crashID identifies the crash of one incarnation of an engine. Instances that see the same crash use the same ID.
type crashID uint64

// crashSet holds crashes and when this process learned of each.
type crashSet map[crashID]time.Time

func (s crashSet) has(id crashID) bool {
	_, found := s[id]
	return found
}

// add adds a crash and reports whether it is new. A full set stays as it is.
func (s crashSet) add(now time.Time, id crashID) bool {
	if s.has(id) || len(s) >= maxCrashesPerSegment {
		return false
	}
	s[id] = now
	return true
}

// without returns the crashes that are not in another set.
func (s crashSet) without(other crashSet) crashSet {
	rest := make(crashSet)
	for id, at := range s {
		if !other.has(id) {
			rest[id] = at
		}
	}
	return rest
}

// equal reports whether the sets have the same crashes.
func (s crashSet) equal(other crashSet) bool {
	return len(s) == len(other) && len(s.without(other)) == 0
}

// rounds returns the number of rounds of crashes. A round consists of the crashes within roundTime of its first one.
func (s crashSet) rounds() int {
	n := 0
	var first time.Time
	for _, at := range slices.SortedFunc(maps.Values(s), time.Time.Compare) {
		if n == 0 || at.Sub(first) >= roundTime {
			n, first = n+1, at
		}
	}
	return n
}

func (s crashSet) ids() []uint64 {
	ids := make([]uint64, 0, len(s))
	for id := range s {
		ids = append(ids, uint64(id))
	}
	slices.Sort(ids)
	return ids
}

// segmentRecord holds the evidence about one segment. Both sets only grow, so that the records of several instances can
// be merged in any order and more than once.
type segmentRecord struct {
	// crashes are those of engines that ran a request with the segment, except for the disproved ones.
	crashes crashSet
	// disproved are crashes after which an engine has answered a request with the segment.
	disproved crashSet
	// answered is set if an engine has ever answered a request with the segment.
	answered bool
	// confirmed is set if an engine has crashed under a trial of the segment.
	confirmed bool
	// own is set if this instance, or an earlier process of it, has contributed to the record and shares it.
	own bool
	// shared is set once the record has been returned for the other instances.
	shared bool
	// changed is when the latest crash was added, on the clock of this process.
	changed time.Time
	// tried is when this instance last sent a trial.
	tried time.Time
	// changedUnixMilli is when the latest crash was recorded, on the clock of the instance that recorded it.
	changedUnixMilli int64
}

func newSegmentRecord() *segmentRecord {
	return &segmentRecord{crashes: make(crashSet), disproved: make(crashSet)}
}

// addCrash adds a crash unless it is disproved. It reports whether the crash is new.
func (r *segmentRecord) addCrash(now time.Time, id crashID, atUnixMilli int64) bool {
	if r.disproved.has(id) || !r.crashes.add(now, id) {
		return false
	}
	r.changed, r.changedUnixMilli = now, max(r.changedUnixMilli, atUnixMilli)
	return true
}

// disprove moves a crash to the disproved ones. It reports whether the crash counted until then.
func (r *segmentRecord) disprove(now time.Time, id crashID) bool {
	r.disproved.add(now, id)
	counted := r.crashes.has(id)
	delete(r.crashes, id)
	return counted
}

func (r *segmentRecord) expired(now time.Time) bool { return now.Sub(r.changed) >= suspicionTTL }
