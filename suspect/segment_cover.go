package suspect

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxSegmentCrashes is the number of crashes after which a segment is refused.
	maxSegmentCrashes = maxCrashes
	// maxUncertainRounds is the number of rounds of crashes after which a segment is refused whose crashes may well have
	// another cause. Many engines can crash within a moment, and none may be left to answer.
	maxUncertainRounds = 3
)

// findCrashingSegments decides which segments cause the crashes while requests with many segments, a few of which crash
// engines, run side by side. The value of a found segment says whether it is certainly a cause. Each crash counts against
// all segments that ran on the engine, so the segment with the most crashes is taken as the cause of all of them; the
// others must have caused enough of the remaining crashes to be found, too.
func findCrashingSegments(records map[Segment]*segmentRecord) map[Segment]bool {
	found := make(map[Segment]bool)
	explained := make(crashSet)
	ids := slices.Sorted(maps.Keys(records))
	for {
		best := mostUnexplained(records, ids, explained)
		if best == nil {
			return found
		}
		for _, id := range ids {
			// A segment with the same evidence cannot be told apart.
			rec := records[id]
			if rec == best || rec.answered == best.answered && rec.crashes.equal(best.crashes) {
				found[id] = !uncertain(records, rec)
			}
		}
		maps.Copy(explained, best.crashes)
	}
}

// mostUnexplained returns the record with the most unexplained crashes among those that have enough of them, or nil.
// Among equals it prefers a segment that no engine has answered.
func mostUnexplained(records map[Segment]*segmentRecord, ids []Segment, explained crashSet) *segmentRecord {
	var best *segmentRecord
	most := 0
	for _, id := range ids {
		rec := records[id]
		unexplained := rec.crashes.without(explained)
		n := len(unexplained)
		if n < maxSegmentCrashes || uncertain(records, rec) && unexplained.rounds() < maxUncertainRounds {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(n, most), compareAnswered(best, rec)) > 0 {
			best, most = rec, n
		}
	}
	return best
}

// uncertain reports whether the crashes of a segment may well have another cause: engines have answered the segment before,
// or another one that they have not answered either ran in all of its crashes but one, which may not have been noticed. A
// crash under a trial settles it.
func uncertain(records map[Segment]*segmentRecord, rec *segmentRecord) bool {
	if rec.confirmed || rec.answered {
		return !rec.confirmed
	}
	for _, other := range records {
		if other != rec && !other.answered && len(rec.crashes.without(other.crashes)) <= 1 {
			return true
		}
	}
	return false
}

// compareAnswered returns 1 if only a has been answered, and -1 if only b has.
func compareAnswered(a, b *segmentRecord) int {
	switch {
	case a.answered == b.answered:
		return 0
	case a.answered:
		return 1
	}
	return -1
}
