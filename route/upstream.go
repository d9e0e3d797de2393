package route

import (
	"time"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/peer/peerpb"
)

const (
	// arrivalWindow is the time over which this instance's own rate of requests is measured, to compare it with the
	// arrival rate that the engine reports.
	arrivalWindow = 5 * time.Second
	// loadExpiry is the age from which a load report is not used any more: neither the instance that polled the engine
	// nor its successor has sent a newer one.
	loadExpiry = 30 * time.Second
	// failureCooldown is the time for which an engine without a load report is not chosen after a failed attempt.
	failureCooldown = 10 * time.Second
)

// upstream is the state of one engine.
type upstream struct {
	cfg   config.Engine
	local bool

	load     *peerpb.UpstreamLoad
	loadAt   time.Time
	prefixes *prefixView

	leaving       bool
	leavingEpoch  uint64
	plannedUntil  time.Time
	plannedAt     time.Time
	plannedRole   uint32
	plannedModels []uint32
	cooldownUntil time.Time

	inFlight      map[string]inFlightWork
	endedDecodes  []time.Time // ends of this instance's decodes that the load report still counts
	sends         []time.Time // times of this instance's requests within arrivalWindow
	prefillTokens mean        // uncached prompt tokens of this instance's requests
	outputTokens  mean        // expected output tokens of this instance's requests
}

func newUpstream(cfg config.Engine, local bool) *upstream {
	return &upstream{cfg: cfg, local: local, prefixes: newPrefixView(), inFlight: make(map[string]inFlightWork)}
}

// Role numbers of peerpb.UpstreamLoad.
const (
	roleMixed   = 0
	rolePrefill = 1
	roleDecode  = 2
)

// RoleOf returns the role of a role number in a load record.
func RoleOf(number uint32) engine.Role {
	switch number {
	case rolePrefill:
		return engine.RolePrefill
	case roleDecode:
		return engine.RoleDecode
	}
	return engine.RoleMixed
}

// RoleNumber returns the number of a role in load records.
func RoleNumber(role engine.Role) uint32 {
	switch role {
	case engine.RolePrefill:
		return rolePrefill
	case engine.RoleDecode:
		return roleDecode
	}
	return roleMixed
}

// fresh reports whether there is a load report that has not expired.
func (u *upstream) fresh(now time.Time) bool { return u.load != nil && now.Sub(u.loadAt) < loadExpiry }

// available reports whether the engine accepts new requests.
func (u *upstream) available(now time.Time) bool {
	if u.leaving || now.Before(u.plannedUntil) || now.Before(u.cooldownUntil) {
		return false
	}
	return u.load == nil || !u.load.Draining
}

// applyLoad stores a load report and drops what it covers. It returns false for a report that is not newer.
func (u *upstream) applyLoad(load *peerpb.UpstreamLoad) bool {
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
	u.endedDecodes = after(u.endedDecodes, at)
	return true
}

// planApplied reports whether a load report shows the planned change for which the engine was excluded.
func (u *upstream) planApplied(load *peerpb.UpstreamLoad) bool {
	if u.plannedUntil.IsZero() || load.Draining {
		return false
	}
	return load.Role != u.plannedRole || !sameSet(u.plannedModels, load.Models)
}

// ownSendRate returns the rate at which this instance sends requests to the engine, per second.
func (u *upstream) ownSendRate(now time.Time) float64 {
	u.sends = after(u.sends, now.Add(-arrivalWindow))
	return float64(len(u.sends)) / arrivalWindow.Seconds()
}

// after returns the times after the limit; times must be in order.
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
