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
