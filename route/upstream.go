package route

import (
	"time"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/peer/peerpb"
)

const (
	// arrivalWindow is the time over which own sends are compared with the engine's reported arrivals.
	arrivalWindow = 5 * time.Second
	// loadExpiry is the age from which a load report says nothing; its poller and the replacement of that are gone.
	loadExpiry = 30 * time.Second
	// refusedFor keeps an engine without a report of its own out of the choice after a failed attempt.
	refusedFor = 10 * time.Second
)

// upstream is the table's record of one engine.
type upstream struct {
	cfg   config.Engine
	local bool

	load     *peerpb.UpstreamLoad
	loadAt   time.Time
	prefixes *prefixView

	leaving      bool
	leavingEpoch uint64
	plannedUntil time.Time
	plannedAt    time.Time
	plannedRole  uint32
	plannedList  []uint32
	refusedUntil time.Time

	legs     map[string]leg
	ended    []time.Time // ends of own decodes that began before the report
	sends    []time.Time // own sends within arrivalWindow
	prefills mean        // tokens to process for each own send
	decodes  mean        // expected answer tokens for each own send
}

func newUpstream(cfg config.Engine, local bool) *upstream {
	return &upstream{cfg: cfg, local: local, prefixes: newPrefixView(), legs: make(map[string]leg)}
}

// Role numbers of peerpb.UpstreamLoad.
const (
	roleMixed   = 0
	rolePrefill = 1
	roleDecode  = 2
)

// RoleOf translates the role number of a load record.
func RoleOf(number uint32) engine.Role {
	switch number {
	case rolePrefill:
		return engine.RolePrefill
	case roleDecode:
		return engine.RoleDecode
	}
	return engine.RoleMixed
}

// RoleNumber translates a role to its number in load records.
func RoleNumber(role engine.Role) uint32 {
	switch role {
	case engine.RolePrefill:
		return rolePrefill
	case engine.RoleDecode:
		return roleDecode
	}
	return roleMixed
}

// fresh says whether the load report can be used.
func (u *upstream) fresh(now time.Time) bool { return u.load != nil && now.Sub(u.loadAt) < loadExpiry }

// available says whether the engine takes new work.
func (u *upstream) available(now time.Time) bool {
	if u.leaving || now.Before(u.plannedUntil) || now.Before(u.refusedUntil) {
		return false
	}
	return u.load == nil || !u.load.Draining
}

// takeLoad stores a newer report and forgets what it covers.
func (u *upstream) takeLoad(load *peerpb.UpstreamLoad) bool {
	at := time.UnixMilli(load.AtUnixMilli)
	if u.load != nil && !at.After(u.loadAt) && load.EpochHash == u.load.EpochHash {
		return false
	}
	if u.leaving && load.EpochHash != u.leavingEpoch {
		u.leaving = false
	}
	if at.After(u.plannedAt) && u.planApplied(load) {
		u.plannedUntil = time.Time{}
	}
	u.load, u.loadAt = load, at
	u.ended = after(u.ended, at)
	return true
}

// planApplied says whether the report shows the change that the engine was drained for.
func (u *upstream) planApplied(load *peerpb.UpstreamLoad) bool {
	if u.plannedUntil.IsZero() || load.Draining {
		return false
	}
	return load.Role != u.plannedRole || !sameSet(u.plannedList, load.Models)
}

func (u *upstream) ownRate(now time.Time) float64 {
	u.sends = after(u.sends, now.Add(-arrivalWindow))
	return float64(len(u.sends)) / arrivalWindow.Seconds()
}

func after(times []time.Time, limit time.Time) []time.Time {
	i := 0
	for i < len(times) && !times[i].After(limit) {
		i++
	}
	return times[i:]
}

func sameSet(a, b []uint32) bool {
	if len(a) != len(b) {
		return false
	}
	seen := make(map[uint32]bool, len(a))
	for _, v := range a {
		seen[v] = true
	}
	for _, v := range b {
		if !seen[v] {
			return false
		}
	}
	return true
}
