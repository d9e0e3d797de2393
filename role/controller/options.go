package controller

import (
	"log/slog"
	"time"

	"rhubarbpoint/role"
)

// Planner decides on role changes. role.Planner is the implementation in production.
type Planner interface {
	// Plan returns a change to make now, or nil.
	Plan(in *role.Input) *role.Change
	// ChangeEnded is called when a role change has ended, with the time that the engine took to drain.
	ChangeEnded(now time.Time, drain time.Duration)
}

// Options are the dependencies and settings of a controller.
type Options struct {
	Applier Applier
	Planner Planner
	// View returns the current state of the region's engines.
	View func(now time.Time) View
	// Exclude keeps an engine from getting new work on all instances until the given time. A zero time ends the
	// exclusion. While a change lasts, the controller calls it again before the time has passed.
	Exclude func(now time.Time, engineID string, until time.Time)
	// NewID returns a new unique ID for an order.
	NewID func() string
	// Automatic reports whether roles may be changed (config.Roles.Automatic). Version changes do not depend on it.
	Automatic func() bool
	// ChangeTime returns how long a change takes an engine out of service (config.Roles.ChangeTime).
	ChangeTime func() time.Duration
	// DrainTimeout returns the longest time that an engine may take to drain: the longest request deadline.
	DrainTimeout func() time.Duration
	// Adapters returns the adapters that are loaded with a model.
	Adapters func(model string) []string
	Logger   *slog.Logger
}
