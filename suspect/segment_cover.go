package suspect

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxSegmentCrashes is the number of crashes after which a segment is refused that no engine has answered.
	maxSegmentCrashes = maxCrashes
	// maxAnsweredCrashes is the same for a segment that engines have answered before. Crashes that have another cause
	// gather at such a segment while no engine is left to answer it.
	maxAnsweredCrashes = 5
)

// findCrashingSegments decides which segments cause the crashes while requests with many segments, a few of which crash
// engines, run side by side. Each crash counts against all segments that ran on the engine, so the segment with the
// most crashes is taken as the cause of all of them; the others must have caused the remaining crashes to be found, too.
func findCrashingSegments(records map[Segment]*segmentRecord) map[Segment]bool {
	found := make(map[Segment]bool)
	explained := make(map[crashID]struct{})
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
				found[id] = true
			}
		}
		for id := range best.crashes {
			explained[id] = struct{}{}
		}
	}
}

// mostUnexplained returns the record with the most unexplained crashes among those that have enough of them, or nil.
// Among equals it prefers a segment that no engine has answered.
func mostUnexplained(records map[Segment]*segmentRecord, ids []Segment, explained crashSet) *segmentRecord {
	var best *segmentRecord
	most := 0
	for _, id := range ids {
		rec := records[id]
		limit := maxSegmentCrashes
		if rec.answered {
			limit = maxAnsweredCrashes
		}
		n := rec.unexplained(explained)
		if n < limit {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(n, most), compareAnswered(best, rec)) > 0 {
			best, most = rec, n
		}
	}
	return best
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
