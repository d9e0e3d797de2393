package role

import "rhubarbpoint/engine"

// roles in the order of their index in arrays.
var roles = [3]engine.Role{engine.RoleMixed, engine.RolePrefill, engine.RoleDecode}

func indexOf(r engine.Role) int {
	for i, known := range roles {
		if known == r {
			return i
		}
	}
	return 0
}

const mixed, prefill, decode = 0, 1, 2

// Capacity is what one engine does in one role.
type Capacity struct {
	// Prefill is in prompt tokens/s, Decode in output tokens/s.
	Prefill, Decode float64
}

// Capacities are those of the three roles, learned from reports.
type Capacities struct {
	of    [3]Capacity
	known [3]bool
}

// capacityWeight is the weight of one report; engines of a fleet are alike, so few reports suffice.
const capacityWeight = 0.1

// Ratios for a role that no engine has had yet, relative to a role that is known. Chunked prefill on a mixed engine
// runs at about half the rate and its batch holds about half the requests; a decode engine processes short prompts only.
const (
	mixedShare         = 0.5
	decodePrefillShare = 0.1
)

func (c *Capacities) observe(e *Engine) {
	i := indexOf(e.Role)
	sample := Capacity{Prefill: e.PrefillRate, Decode: e.DecodeRate}
	if i == prefill {
		sample.Decode = 0
	}
	if !c.known[i] {
		c.of[i], c.known[i] = sample, true
		return
	}
	c.of[i].Prefill += capacityWeight * (sample.Prefill - c.of[i].Prefill)
	c.of[i].Decode += capacityWeight * (sample.Decode - c.of[i].Decode)
}

// full returns the capacities of an engine that does only one kind of work.
func (c *Capacities) full() Capacity {
	var f Capacity
	switch {
	case c.known[prefill]:
		f.Prefill = c.of[prefill].Prefill
	case c.known[mixed]:
		f.Prefill = c.of[mixed].Prefill / mixedShare
	default:
		f.Prefill = c.of[decode].Prefill / decodePrefillShare
	}
	switch {
	case c.known[decode]:
		f.Decode = c.of[decode].Decode
	case c.known[mixed]:
		f.Decode = c.of[mixed].Decode / mixedShare
	}
	return f
}

// role returns the capacity of a role, by the ratios if it is not known.
func (c *Capacities) role(i int) Capacity {
	if c.known[i] {
		return c.of[i]
	}
	f := c.full()
	switch i {
	case prefill:
		return Capacity{Prefill: f.Prefill}
	case decode:
		return Capacity{Prefill: f.Prefill * decodePrefillShare, Decode: f.Decode}
	}
	return Capacity{Prefill: f.Prefill * mixedShare, Decode: f.Decode * mixedShare}
}
