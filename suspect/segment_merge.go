package suspect

import (
	"cmp"
	"slices"
	"time"

	"rhubarbpoint/peer/peerpb"
)

// maxSharedSegments bounds the records for the other instances. Each has up to 600 bytes.
const maxSharedSegments = 200

// Records returns the records that this instance contributes to, for the other instances. Those with the most crashes
// come first.
func (t *SegmentTable) Records(now time.Time) []*peerpb.CrashingSegment {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*peerpb.CrashingSegment
	for s, rec := range t.records {
		if !rec.own || rec.expired(now) || len(rec.crashes) == 0 && !rec.shared {
			continue
		}
		all = append(all, &peerpb.CrashingSegment{
			Segment: uint64(s), Crashes: rec.crashes.ids(), Disproved: rec.disproved.ids(), Answered: rec.answered, Confirmed: rec.confirmed,
			AtUnixMilli: rec.changedUnixMilli,
		})
	}
	slices.SortFunc(all, func(a, b *peerpb.CrashingSegment) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Segment, b.Segment))
	})
	all = all[:min(len(all), maxSharedSegments)]
	for _, record := range all {
		t.records[Segment(record.Segment)].shared = true
	}
	return all
}

// Merge applies the records of another instance, or with own those of an earlier process of this one, which this
// process then shares in its place. Records may arrive late, more than once and out of order.
func (t *SegmentTable) Merge(now time.Time, records []*peerpb.CrashingSegment, own bool) {
	t.mu.Lock()
	changed := &segmentChanges{}
	for _, record := range records {
		t.merge(now, record, own, changed)
	}
	t.updateRefused(now, changed)
	t.mu.Unlock()
	t.report(changed)
}

func (t *SegmentTable) merge(now time.Time, record *peerpb.CrashingSegment, own bool, changed *segmentChanges) {
	// Clocks may differ; the record expires by the clock of this process.
	if now.UnixMilli()-record.AtUnixMilli >= (suspicionTTL + maxClockSkew).Milliseconds() {
		return
	}
	rec := t.recordFor(now, Segment(record.Segment))
	rec.answered = rec.answered || record.Answered
	if record.Confirmed && !rec.confirmed {
		rec.confirmed, changed.merged = true, true
	}
	rec.own = rec.own || own
	rec.shared = rec.shared || own
	for _, id := range record.Disproved {
		if rec.disprove(now, crashID(id)) {
			changed.merged = true
		}
	}
	for _, id := range record.Crashes {
		if rec.addCrash(now, crashID(id), record.AtUnixMilli) {
			changed.merged = true
		}
		// Attempts of this instance may have run on the engine as well.
		t.blame(now, crashID(id), record.AtUnixMilli, changed)
	}
}
