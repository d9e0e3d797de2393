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

// Inherit applies a record that an earlier process of this instance has shared, and whose attempts have ended with it.
// This process shares the record from now on. It modifies s.
func (t *Table) Inherit(now time.Time, s *peerpb.Suspicion) {
	if s.GetOrigin() == t.opts.Self {
		return
	}
	s.Engine = ""
	t.Merge(now, s)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inherited[s.GetOrigin()] = true
}

// Records returns the entries of this instance and of its earlier processes in each record, for the other instances.
func (t *Table) Records(now time.Time) []*peerpb.Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*peerpb.Suspicion
	for f, rec := range t.records {
		if t.crashes(now, f) == 0 {
			continue
		}
		for name, o := range rec.origins {
			if name == t.opts.Self || t.inherited[name] {
				all = append(all, newSuspicion(f, name, o))
			}
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
