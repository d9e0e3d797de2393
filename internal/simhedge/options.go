package simhedge

import "time"

// Options describe one play.
type Options struct {
	// Load is the part of the capacity that the requests need.
	Load float64
	// Share is the limit of second attempts per request; 0 means none.
	Share float64
	// Factors lets the load reports say how much a replica is slowed.
	Factors bool
	// OwnWork lets an unusual amount of work belong to the request, so that both attempts have it.
	OwnWork bool
	Seed    uint64
	Length  time.Duration
}
