package controller

import (
	"log/slog"
	"time"

	"rhubarbpoint/role"
)

// Planner decides on role changes. role.Planner is the production implementation.
type Planner interface {
	Plan(in *role.Input) *role.Change
	// ChangeEnded is called when a change has ended, with the time that the engine took until it was empty.
	ChangeEnded(now time.Time, drain time.Duration)
}

// Options are the parts that a controller works with.
type Options struct {
	Applier Applier
	Planner Planner
	// View returns what is known of the region's engines.
	View func(now time.Time) View
	// Exclude excludes an engine from new work on all instances until the given time; a zero time ends it. It is called
	// again before the time is over for as long as the change lasts.
	Exclude func(now time.Time, engineID string, until time.Time)
	// NewID returns a new unique ID for an order.
	NewID func() string
	// Automatic says whether roles may be changed (config.Roles.Automatic). Version changes do not depend on it.
	Automatic func() bool
	// ChangeTime is how long a change takes an engine away (config.Roles.ChangeTime).
	ChangeTime func() time.Duration
	// DrainTimeout is the longest time that an engine may take until it is empty: the longest request deadline.
	DrainTimeout func() time.Duration
	// Adapters returns the adapters to load with a model.
	Adapters func(model string) []string
	Logger   *slog.Logger
}
