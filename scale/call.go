package scale

import "time"

// call is an order that has no answer yet.
type call struct {
	service string
	order   Order
	// next is the earliest time of the next attempt, wait the time between the last two.
	next time.Time
	wait time.Duration
}
