package controller

import (
	"time"

	"rhubarbpoint/engine"
	"rhubarbpoint/role"
)

// job is the change under way: the orders for one engine and how far they have got.
type job struct {
	engineID  string
	change    *role.Change // nil for a change of models
	orders    []*engine.Order
	nextOrder int // index in orders of the next one to send
	startedAt time.Time
	emptyAt   time.Time // zero until the engine was found empty
	orderedAt time.Time // zero until the last order was accepted
}

// drainTime returns how long the engine took to drain, or zero if it did not become empty.
func (j *job) drainTime() time.Duration {
	if j.emptyAt.IsZero() {
		return 0
	}
	return j.emptyAt.Sub(j.startedAt)
}
