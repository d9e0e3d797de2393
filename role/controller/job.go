package controller

import (
	"time"

	"rhubarbpoint/engine"
	"rhubarbpoint/role"
)

// job is the one change that is under way.
type job struct {
	engineID string
	role     *role.Change // nil for a change of models
	orders   []*engine.Order
	next     int
	started  time.Time
	empty    time.Time // zero until the engine was empty
	ordered  time.Time // zero until the last order was accepted
}

func (j *job) drain() time.Duration {
	if j.empty.IsZero() {
		return 0
	}
	return j.empty.Sub(j.started)
}
