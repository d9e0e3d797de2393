package scale

// Order is a number of replicas to be ordered.
type Order struct {
	Subject
	// From is the number in force: the one ordered last, or the number of replicas if none was ordered. It equals To if
	// the order is only repeated.
	From, To int
	Reason   Reason
	// Present is the number of replicas of this kind in the zone that serve.
	Present int
	// Price of one such replica.
	Price float64
}

// Reason says why a number was chosen.
type Reason string

// Reasons of orders.
const (
	// Replacement of on-demand replicas by preemptible ones, or the removal of those that were replaced.
	Replacement Reason = "replacement"
	// Growth of the demand, of the waiting or of the refused requests.
	Growth Reason = "growth"
	// Shrinkage is a number above what the demand needs.
	Shrinkage Reason = "shrinkage"
	// Moved is the share of a zone that has no replicas for now.
	Moved Reason = "moved share"
	// Reserve for the most urgent requests.
	Reserve Reason = "reserve"
	// Bound is a number above the configured maximum.
	Bound Reason = "bound"
	// Repetition of an order that has had no effect.
	Repetition Reason = "repetition"
)
