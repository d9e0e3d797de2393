package suspect

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// unresolvedTTL is how long an attempt without an answer may still turn out to have run on an engine that crashed.
	// Its caller may leave before the crash is noticed, and another instance may be the one that notices it.
	unresolvedTTL = 3 * time.Second
	// trialPause is the time after the last crash, or the last trial, after which an instance tries a refused segment again
	// whose crashes may have another cause. The instances do so at different times within trialSpread, so that most learn
	// the result of the first one in time.
	trialPause  = 5 * time.Second
	trialSpread = 10 * time.Second
	// maxSegments bounds the records, except for those of refused segments.
	maxSegments = 10_000
)

// SegmentOptions configure a SegmentTable.
type SegmentOptions struct {
	// Self is the ID of this process.
	Self string
	// OnChange is called after a change that other instances should learn. It is called without the table's lock and
	// must not block. It may be nil.
	OnChange func()
	Logger   *slog.Logger
}

// SegmentTable finds the segments of prompts that crash engines, whatever else the prompts hold, and refuses requests
// that have them. It is safe for concurrent use.
type SegmentTable struct {
	opts SegmentOptions

	mu      sync.Mutex
	records map[Segment]*segmentRecord
	// refused is findCrashingSegments of records: the refused segments, and whether their finding is certain.
	refused  map[Segment]bool
	answered recentSegments
	// attempts holds those that run and the unresolved ones, by the crash that would explain them.
	attempts map[crashID]map[*SegmentAttempt]struct{}
	// crashed holds the known crashes and when this process learned of them.
	crashed  map[crashID]time.Time
	prunedAt time.Time
}

// NewSegmentTable returns an empty table.
func NewSegmentTable(opts SegmentOptions) *SegmentTable {
	return &SegmentTable{
		opts: opts, records: make(map[Segment]*segmentRecord), refused: make(map[Segment]bool), answered: newRecentSegments(),
		attempts: make(map[crashID]map[*SegmentAttempt]struct{}), crashed: make(map[crashID]time.Time),
	}
}

// Check returns an error marked ErrRefused if a request has a segment that crashes engines. It returns trial if the request
// may be sent to find out whether a refused segment is sound.
func (t *SegmentTable) Check(now time.Time, segments []Segment) (trial bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(now, segments)
}

// Preview returns the error that Check would return, and changes nothing. A record that has expired but was not yet
// dropped refuses nothing.
func (t *SegmentTable) Preview(now time.Time, segments []Segment) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _, err := t.judge(now, segments)
	return err
}

func (t *SegmentTable) check(now time.Time, segments []Segment) (trial bool, err error) {
	tried, expired, err := t.judge(now, segments)
	if expired {
		t.prune(now)
		return t.check(now, segments)
	}
	if err != nil {
		return false, err
	}
	for _, rec := range tried {
		rec.tried = now
	}
	return len(tried) > 0, nil
}

// judge returns the records of refused segments that may be tried again, and an error if a segment must not be. expired
// is set if the record of a segment that it has passed has expired.
func (t *SegmentTable) judge(now time.Time, segments []Segment) (tried []*segmentRecord, expired bool, err error) {
	for _, s := range segments {
		certain, refused := t.refused[s]
		if !refused {
			continue
		}
		rec := t.records[s]
		if rec.expired(now) {
			expired = true
			continue
		}
		if !certain && !now.Before(t.nextTrial(s, rec)) {
			tried = append(tried, rec)
			continue
		}
		return nil, expired, errors.Mark(errors.Newf("suspect: %d engines crashed with prompt segment %s, the last one %s ago", len(rec.crashes), s,
			now.Sub(rec.changed).Round(time.Millisecond)), ErrRefused)
	}
	return tried, expired, nil
}

// nextTrial returns when this instance may try a refused segment again.
func (t *SegmentTable) nextTrial(s Segment, rec *segmentRecord) time.Time {
	last := rec.changed
	if rec.tried.After(last) {
		last = rec.tried
	}
	return last.Add(trialPause + time.Duration(xxhash.Sum64String(t.opts.Self+"/"+s.String())%uint64(trialSpread)))
}

// Begin registers an attempt on an incarnation of an engine. It returns an error marked ErrRefused like Check, unless the
// request is a trial. End must be called.
func (t *SegmentTable) Begin(now time.Time, incarnation string, segments []Segment, trial bool) (*SegmentAttempt, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.prunedAt) >= unresolvedTTL {
		t.prune(now)
	}
	if !trial {
		if _, err := t.check(now, segments); err != nil {
			return nil, err
		}
	}
	a := &SegmentAttempt{table: t, crash: crashID(xxhash.Sum64String(incarnation)), engine: incarnation, segments: segments, trial: trial}
	if len(segments) > 0 {
		if t.attempts[a.crash] == nil {
			t.attempts[a.crash] = make(map[*SegmentAttempt]struct{})
		}
		t.attempts[a.crash][a] = struct{}{}
	}
	return a, nil
}

func (t *SegmentTable) end(now time.Time, a *SegmentAttempt, result AttemptResult) {
	t.mu.Lock()
	if !a.endedAt.IsZero() {
		t.mu.Unlock()
		return
	}
	a.endedAt = now
	changed := &segmentChanges{}
	noticed, crashed := t.crashed[a.crash]
	crashed = crashed && now.Sub(noticed) < crashReportDelay
	switch {
	case result == Answered:
		t.clearSegments(now, a.segments, changed)
		t.forget(a)
	case result == NotRun:
		t.forget(a)
	case result == Crashed || crashed:
		t.blame(now, a.crash, now.UnixMilli(), changed)
	}
	t.updateRefused(now, changed)
	t.mu.Unlock()
	t.report(changed)
}

// blame records a crash against the segments of all attempts that may have run on the engine.
func (t *SegmentTable) blame(now time.Time, crash crashID, atUnixMilli int64, changed *segmentChanges) {
	if _, known := t.crashed[crash]; !known {
		t.crashed[crash] = now
	}
	for a := range t.attempts[crash] {
		if !a.endedAt.IsZero() && now.Sub(a.endedAt) > unresolvedTTL {
			continue
		}
		for _, s := range a.segments {
			rec := t.recordFor(now, s)
			if rec.addCrash(now, crash, atUnixMilli) {
				rec.own = true
				_, refused := t.refused[s]
				rec.confirmed = rec.confirmed || a.trial && refused
				changed.blame(a.engine, s, len(rec.crashes))
			}
		}
		t.forget(a)
	}
}

// clearSegments disproves the crashes of segments that an engine has answered.
func (t *SegmentTable) clearSegments(now time.Time, segments []Segment, changed *segmentChanges) {
	for _, s := range segments {
		t.answered.add(s)
		rec := t.records[s]
		if rec == nil {
			continue
		}
		rec.answered = true
		if len(rec.crashes) == 0 {
			continue
		}
		changed.cleared = append(changed.cleared, s)
		// The instances that share a record disprove its crashes themselves as soon as they get an answer. Only where the
		// segment is refused may they get none.
		if _, refused := t.refused[s]; refused || rec.own && rec.shared {
			rec.own, changed.share = true, true
		}
		for id := range rec.crashes {
			rec.disprove(now, id)
		}
	}
}

// updateRefused decides anew which segments are refused, if the evidence has changed.
func (t *SegmentTable) updateRefused(now time.Time, changed *segmentChanges) {
	if !changed.any() {
		return
	}
	refused := findCrashingSegments(t.records)
	for s := range refused {
		if _, already := t.refused[s]; !already {
			changed.refused = append(changed.refused, refusedSegment{s, len(t.records[s].crashes), now.Sub(t.records[s].changed)})
		}
	}
	t.refused = refused
}

func (t *SegmentTable) forget(a *SegmentAttempt) {
	delete(t.attempts[a.crash], a)
	if len(t.attempts[a.crash]) == 0 {
		delete(t.attempts, a.crash)
	}
}

func (t *SegmentTable) recordFor(now time.Time, s Segment) *segmentRecord {
	rec := t.records[s]
	if rec == nil {
		t.evictIfFull()
		rec = newSegmentRecord()
		rec.answered, rec.changed = t.answered.has(s), now
		t.records[s] = rec
	}
	return rec
}

// evictIfFull evicts the record with the oldest crash whose segment is not refused.
func (t *SegmentTable) evictIfFull() {
	if len(t.records) < maxSegments {
		return
	}
	var oldest Segment
	var found *segmentRecord
	for s, rec := range t.records {
		if _, refused := t.refused[s]; !refused && (found == nil || rec.changed.Before(found.changed)) {
			oldest, found = s, rec
		}
	}
	delete(t.records, oldest)
}

// prune removes what has expired.
func (t *SegmentTable) prune(now time.Time) {
	t.prunedAt = now
	for _, attempts := range t.attempts {
		for a := range attempts {
			if !a.endedAt.IsZero() && now.Sub(a.endedAt) > unresolvedTTL {
				t.forget(a)
			}
		}
	}
	for id, at := range t.crashed {
		if now.Sub(at) >= suspicionTTL {
			delete(t.crashed, id)
		}
	}
	expired := false
	for s, rec := range t.records {
		if rec.expired(now) {
			delete(t.records, s)
			expired = true
		}
	}
	if expired {
		t.refused = findCrashingSegments(t.records)
	}
}

// report logs changes and announces them to the other instances.
func (t *SegmentTable) report(changed *segmentChanges) {
	changed.log(context.Background(), t.opts.Logger)
	if changed.share && t.opts.OnChange != nil {
		t.opts.OnChange()
	}
}
