// Package truetime estimates true time although the wall clocks of single instances jump by seconds and back. The
// collectors of package activity take the median of the wall clocks of all instances; each instance advances the
// estimate by its boot-time clock.
package truetime

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"rhubarbpoint/internal/boottime"
)

// minLoggedStep is the least change of the estimate that is logged. Estimates of two collectors differ by the time that
// reports travel, which is tens of milliseconds between regions.
const minLoggedStep = 200 * time.Millisecond

// Options configure a Clock.
type Options struct {
	// Boot is the boot-time clock. Default boottime.Now.
	Boot boottime.Clock
	// Wall is the wall clock. Default time.Now.
	Wall   func() time.Time
	Logger *slog.Logger
}

func (o Options) withDefaults() Options {
	if o.Boot == nil {
		o.Boot = boottime.Now
	}
	if o.Wall == nil {
		o.Wall = time.Now
	}
	return o
}

// Clock tells true time. It is safe for concurrent use.
type Clock struct {
	opts Options

	mu       sync.Mutex
	estimate Estimate
	known    bool
}

// State is the state of a Clock for operators.
type State struct {
	Known bool `json:"known"`
	// OffsetMillis is true time minus the wall clock.
	OffsetMillis int64 `json:"offset_ms"`
	ErrorMillis  int64 `json:"error_ms"`
	Clocks       int   `json:"clocks"`
	AgeMillis    int64 `json:"age_ms"`
}

// NewClock returns a Clock that shows the wall clock until Update.
func NewClock(opts Options) *Clock { return &Clock{opts: opts.withDefaults()} }

// Now returns true time at the local time now, which must be recent: the estimate, or the wall clock before there is
// one. The result has no monotonic clock reading.
func (c *Clock) Now(now time.Time) time.Time {
	ago := time.Since(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return c.opts.Wall().Round(0).Add(-ago)
	}
	return c.at(c.opts.Boot()).Add(-ago)
}

// at returns the estimate of true time at a time of the boot-time clock. The lock is held.
func (c *Clock) at(boot boottime.Instant) time.Time {
	return c.estimate.Time.Add(boot.Sub(c.estimate.Boot))
}

// Known reports whether there is an estimate.
func (c *Clock) Known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

// Wall returns the wall clock.
func (c *Clock) Wall() time.Time { return c.opts.Wall() }

// Boot returns the boot-time clock.
func (c *Clock) Boot() boottime.Instant { return c.opts.Boot() }

// Update replaces the estimate by the best of those that the collectors have just given, if it is usable. live is the
// number of live instances.
func (c *Clock) Update(ctx context.Context, estimates []Estimate, live int) {
	best, usable := Best(estimates, live)
	if !usable {
		return
	}
	c.mu.Lock()
	step := best.Time.Sub(c.at(best.Boot))
	first := !c.known
	if first {
		step = best.Time.Sub(c.opts.Wall())
	}
	c.estimate, c.known = best, true
	c.mu.Unlock()
	if first || step.Abs() >= minLoggedStep {
		eventEstimate.Log(ctx, c.opts.Logger, slog.Bool("first", first), slog.Int64("step_ms", step.Milliseconds()),
			slog.Int64("error_ms", best.Error.Milliseconds()), slog.Int("clocks", best.Clocks), slog.Int("live", live))
	}
}

// State returns the state for operators.
func (c *Clock) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return State{}
	}
	boot := c.opts.Boot()
	return State{
		Known: true, OffsetMillis: c.at(boot).Sub(c.opts.Wall()).Milliseconds(), ErrorMillis: c.estimate.errorAt(boot).Milliseconds(),
		Clocks: c.estimate.Clocks, AgeMillis: boot.Sub(c.estimate.Boot).Milliseconds(),
	}
}
