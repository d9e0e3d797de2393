package suspect

import "time"

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
