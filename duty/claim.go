package duty

import "time"

// Claim is the need of one duty for the lease. It is safe for concurrent use.
type Claim struct {
	elector *Elector
	name    string
	needed  bool // guarded by elector.mu
}

// Need states whether the duty needs the lease from now on. A need that ends does not end the lease if this instance
// holds it, only its campaigns.
func (c *Claim) Need(now time.Time, needed bool) { c.elector.setNeed(c, now, needed) }
