package role

import (
	"time"

	"rhubarbpoint/engine"
)

// Change is a planned change of one engine's role.
type Change struct {
	EngineID string
	From, To engine.Role
	// Gain is the expected gain in engine-seconds of work per second, for the log.
	Gain float64
}

// Input is what a decision depends on besides the planner's state.
type Input struct {
	Now time.Time
	// ChangesAllowed is whether this process may change roles: it holds the region's authority and automatic changes
	// are on.
	ChangesAllowed bool
	// Changing is whether a change is under way in the region.
	Changing bool
	Engines  []Engine
	// UnmetPrefill and UnmetDecode are the token rates of the work that the region's engines did not get: it was held
	// back, refused as too late or sent to another region.
	UnmetPrefill float64
	UnmetDecode  float64
}

// Policy sets what a role change costs.
type Policy struct {
	// ChangeTime is how long an engine is out of service for a change, not counting the time in which it drains.
	ChangeTime time.Duration
	// ChangeCost is config.Roles.RoleChangeCost: seconds of one engine's full useful work that a change costs in
	// addition to the time out of service.
	ChangeCost float64
}
