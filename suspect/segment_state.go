package suspect

import (
	"slices"
	"time"
)

// SegmentState is a segment in the state dump.
type SegmentState struct {
	Segment  Segment `json:"segment"`
	Crashes  int     `json:"crashes"`
	Answered bool    `json:"answered"` // an engine has ever answered it
	Refused  bool    `json:"refused"`
	Certain  bool    `json:"certain"` // if refused; otherwise it is tried again now and then
	AgeMs    int64   `json:"age_ms"`  // since the last crash became known
}

// State returns the segments that are blamed for crashes.
func (t *SegmentTable) State(now time.Time) []SegmentState {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := []SegmentState{}
	for s, rec := range t.records {
		if len(rec.crashes) > 0 && !rec.expired(now) {
			certain, refused := t.refused[s]
			all = append(all, SegmentState{s, len(rec.crashes), rec.answered, refused, certain, now.Sub(rec.changed).Milliseconds()})
		}
	}
	slices.SortFunc(all, func(a, b SegmentState) int { return b.Crashes - a.Crashes })
	return all
}
