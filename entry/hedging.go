package entry

import (
	"time"

	"rhubarbpoint/hedge"
	"rhubarbpoint/upstream"
)

// Hedging configures second attempts of requests of idempotent routes beside slow first ones.
type Hedging struct {
	// Services holds the measurements and limits of the services.
	Services *hedge.Services
	// Factor returns how long work takes at a replica at this moment, relative to its usual time. Nil means that it is
	// not known.
	Factor func(now time.Time, replica *upstream.Replica) float64
}

// factorRecheck is how often a decision about a second attempt is repeated if the factors of the replicas are known.
// They change within some hundred milliseconds.
const factorRecheck = 30 * time.Millisecond

// factor returns the factor of a replica, 1 if it is not known.
func (h *Hedging) factor(now time.Time, replica *upstream.Replica) float64 {
	if h.Factor == nil {
		return 1
	}
	if f := h.Factor(now, replica); f > 0 {
		return f
	}
	return 1
}

// recheck returns the interval at which decisions are repeated, or zero.
func (h *Hedging) recheck() time.Duration {
	if h.Factor == nil {
		return 0
	}
	return factorRecheck
}
