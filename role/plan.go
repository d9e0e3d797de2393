package role

import (
	"time"

	"rhubarbpoint/engine"
)

// Change is a planned change of one engine's role.
type Change struct {
	EngineID string
	From, To engine.Role
	// Gain is the expected gain in seconds of one engine's work for each second, for the log.
	Gain float64
}

// Input is what a decision depends on, beside the planner's memory.
type Input struct {
	Now time.Time
	// ChangesAllowed says whether this process holds the authority of the region.
	ChangesAllowed bool
	// Changing says whether a change is under way in the region.
	Changing bool
	Engines  []Engine
	// UnmetPrefill and UnmetDecode are the rates of tokens of requests that were refused as too late or sent away.
	UnmetPrefill float64
	UnmetDecode  float64
}

// Policy is the price of changes.
type Policy struct {
	// ChangeTime is how long a change takes an engine away, without the time until it is empty.
	ChangeTime time.Duration
	// ChangeCost is config.Roles.RoleChangeCost: seconds of one engine's full useful work on top of the time away.
	ChangeCost float64
}
