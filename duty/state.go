package duty

// State is the state of an Elector for operators.
type State struct {
	// Fence is the fencing token of this instance, or 0 if it does not hold the lease.
	Fence int64 `json:"fence"`
	// Acting reports whether this instance may act now. A new holder waits first.
	Acting bool `json:"acting"`
	// NeededBy lists the duties that need the lease, in the order of their registration.
	NeededBy []string `json:"needed_by"`
}
