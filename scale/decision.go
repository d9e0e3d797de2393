package scale

import "time"

// Decision is the result of Plan.
type Decision struct {
	// Orders are in order of their zones; within a zone, preemptible ones are first. They are few: at most two a zone.
	Orders []Order
	// Memory is the input of the next decision.
	Memory Memory
	// Reclaimed zones lost their preemptible replicas since the previous decision.
	Reclaimed []string
	// Figures explain the decision.
	Figures Figures
}

// Figures are the intermediate results of a decision, for operators.
type Figures struct {
	// DemandKnown reports whether the demand was known and recent. Age is that of the oldest figure used.
	DemandKnown bool
	Age         time.Duration
	// Work is the current demand and Sustained the median of the window, in replicas that work all the time.
	Work, Sustained float64
	// Need is the number of replicas that must be left after the loss of a zone.
	Need float64
	// Reserve is the number of on-demand replicas to be kept.
	Reserve int
	// Unplaced is the number of preemptible replicas for which no zone has room.
	Unplaced int
}
