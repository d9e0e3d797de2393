package role

import "rhubarbpoint/engine"

// roles lists the roles in the order of their array indexes.
var roles = [3]engine.Role{engine.RoleMixed, engine.RolePrefill, engine.RoleDecode}

func roleIndex(r engine.Role) int {
	for i, known := range roles {
		if known == r {
			return i
		}
	}
	return 0
}

// Array indexes of the roles.
const mixed, prefill, decode = 0, 1, 2

// Capacity is the throughput of one engine in one role.
type Capacity struct {
	// Prefill is in prompt tokens/s, Decode in output tokens/s.
	Prefill, Decode float64
}

// Capacities estimates the capacity of an engine in each role from load reports.
type Capacities struct {
	estimates [3]Capacity
	known     [3]bool // whether an engine has reported in the role
}

// capacitySampleWeight is the weight of one report in the moving average. The engines of a fleet are alike, so a few
// reports suffice.
const capacitySampleWeight = 0.1

// Ratios to a dedicated engine's capacity. They give the capacity of a role that no engine has reported yet. Chunked
// prefill on a mixed engine runs at about half the rate, and its batch holds about half the requests. A decode engine
// processes short prompts only.
const (
	mixedCapacityShare = 0.5
	decodePrefillShare = 0.1
)

// observe updates the estimate of the engine's role with its reported rates.
func (c *Capacities) observe(e *Engine) {
	i := roleIndex(e.Role)
	sample := Capacity{Prefill: e.PrefillRate, Decode: e.DecodeRate}
	if i == prefill {
		sample.Decode = 0
	}
	if !c.known[i] {
		c.estimates[i], c.known[i] = sample, true
		return
	}
	c.estimates[i].Prefill += capacitySampleWeight * (sample.Prefill - c.estimates[i].Prefill)
	c.estimates[i].Decode += capacitySampleWeight * (sample.Decode - c.estimates[i].Decode)
}

// dedicated returns the prefill rate of an engine that only does prefill and the decode rate of one that only decodes.
func (c *Capacities) dedicated() Capacity {
	var d Capacity
	switch {
	case c.known[prefill]:
		d.Prefill = c.estimates[prefill].Prefill
	case c.known[mixed]:
		d.Prefill = c.estimates[mixed].Prefill / mixedCapacityShare
	default:
		d.Prefill = c.estimates[decode].Prefill / decodePrefillShare
	}
	switch {
	case c.known[decode]:
		d.Decode = c.estimates[decode].Decode
	case c.known[mixed]:
		d.Decode = c.estimates[mixed].Decode / mixedCapacityShare
	}
	return d
}

// forRole returns the capacity of the role with index i, derived from another role if no engine has reported in it.
func (c *Capacities) forRole(i int) Capacity {
	if c.known[i] {
		return c.estimates[i]
	}
	d := c.dedicated()
	switch i {
	case prefill:
		return Capacity{Prefill: d.Prefill}
	case decode:
		return Capacity{Prefill: d.Prefill * decodePrefillShare, Decode: d.Decode}
	}
	return Capacity{Prefill: d.Prefill * mixedCapacityShare, Decode: d.Decode * mixedCapacityShare}
}
