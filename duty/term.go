// Package duty elects the one instance at a time that performs the duties which the platform allows only one instance
// to perform, such as orders to replicas and calls to the control API.
package duty

import "time"

// Term is the time for which one instance holds the duties.
type Term struct {
	// Holder is the name of the instance.
	Holder string
	// Fence is the fencing token. It is higher than that of every earlier term.
	Fence int64
}

// Authority tells whether this instance may perform a duty. Implementations are safe for concurrent use.
type Authority interface {
	// Term returns the current term, and whether this instance may act in it now. A call that it begins must end within
	// a second, because a successor may act soon after the term has ended.
	Term(now time.Time) (Term, bool)
}
