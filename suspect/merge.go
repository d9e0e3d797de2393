package suspect

import (
	"time"

	"rhubarbpoint/peer/peerpb"
)

// maxClockSkew bounds how far a peer's timestamps may lie in the future, so that a wrong clock does not cause a request
// to be refused for hours.
const maxClockSkew = time.Minute

// Merge applies a record of a peer. Records may arrive late, more than once and out of order. Invalid and expired
// records are ignored.
func (t *Table) Merge(now time.Time, s *peerpb.Suspicion) {
	if len(s.GetFingerprint()) != len(Fingerprint{}) || s.Origin == "" || s.Origin == t.opts.Self {
		return
	}
	f := Fingerprint(s.Fingerprint)
	at := min(s.AtUnixMilli, now.Add(maxClockSkew).UnixMilli())
	if now.UnixMilli() >= at+suspicionTTL.Milliseconds() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashes(now, f)
	rec := t.recordFor(f)
	old := rec.origins[s.Origin]
	if s.Seq <= old.seq {
		return
	}
	if old.engine != "" && s.Crashes > old.crashes {
		t.remoteCrashes[old.engine] = now.Add(crashReportDelay)
	}
	rec.origins[s.Origin] = origin{seq: s.Seq, crashes: s.Crashes, at: at, engine: s.Engine}
	rec.at = max(rec.at, at)
	if s.Cleared {
		rec.cleared = max(rec.cleared, at)
	}
	t.notifyChanged()
}

// Records returns this instance's entry in each record, for a peer that has connected.
func (t *Table) Records(now time.Time) []*peerpb.Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*peerpb.Suspicion
	for f := range t.records {
		if own, found := t.records[f].origins[t.opts.Self]; found && t.crashes(now, f) > 0 {
			all = append(all, newSuspicion(f, t.opts.Self, own))
		}
	}
	return all
}

// State is a suspect in the state dump.
type State struct {
	Fingerprint string `json:"fingerprint"`
	Crashes     int    `json:"crashes"`
}

// State returns the suspects.
func (t *Table) State(now time.Time) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := []State{}
	for f := range t.records {
		if crashes := t.crashes(now, f); crashes > 0 {
			all = append(all, State{f.String(), crashes})
		}
	}
	return all
}
