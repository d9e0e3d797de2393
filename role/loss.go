package role

import "math"

// counts is the number of engines in each role.
type counts [3]int

// prefillEngines returns the number of engines that do prefill.
func (n counts) prefillEngines() int { return n[prefill] + n[mixed] }

// decodeEngines returns the number of engines that decode.
func (n counts) decodeEngines() int { return n[decode] + n[mixed] }

// after returns the counts after one engine has made the transition.
func (n counts) after(t transition) counts {
	n[t.from]--
	n[t.to]++
	return n
}

// mixedSplitSteps is the number of steps in which lostWork varies the division of the mixed engines' time between
// prefill and decode.
const mixedSplitSteps = 10

// missingKindLoss is the loss while no engine does one of the two kinds of work. All requests of the region fail then,
// however few there are.
const missingKindLoss = 10.0

// The share of late prompts grows with the fourth power of the utilization of the prefill engines, up to
// lateShareAtFullUse at full utilization. Processing a prompt alone takes up to the latency target, so queueing makes
// most prompts late when the work equals the capacity. A batch serves many requests at the same time, so answers are in
// time up to full utilization.
const (
	lateShareAtFullUse = 0.7
	lateExponent       = 4
)

// prefillInTime returns the prompt tokens/s that are processed in time.
func prefillInTime(demand, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	busyShare := min(1, demand/capacity)
	return capacity * busyShare * (1 - lateShareAtFullUse*math.Pow(busyShare, lateExponent))
}

// lostWork returns the work that the engines cannot do in time, in engine-seconds per second. It assumes the division
// of the mixed engines' time between prefill and decode that loses the least.
func lostWork(n counts, c *Capacities, d Demand) float64 {
	if n.prefillEngines() == 0 || n.decodeEngines() == 0 {
		return missingKindLoss
	}
	dedicated := c.dedicated()
	if dedicated.Prefill <= 0 || dedicated.Decode <= 0 {
		return 0 // no engine that does this kind of work has reported yet
	}
	mixedCapacity, prefillCapacity, decodeCapacity := c.forRole(mixed), c.forRole(prefill), c.forRole(decode)
	least := math.Inf(1)
	for i := 0; i <= mixedSplitSteps; i++ {
		share := float64(i) / mixedSplitSteps
		prefillRate := float64(n[prefill])*prefillCapacity.Prefill + float64(n[mixed])*share*mixedCapacity.Prefill
		decodeRate := float64(n[decode])*decodeCapacity.Decode + float64(n[mixed])*(1-share)*mixedCapacity.Decode
		total := (d.Prefill-prefillInTime(d.Prefill, prefillRate))/dedicated.Prefill +
			(d.Decode-min(d.Decode, decodeRate))/dedicated.Decode
		least = min(least, total)
		if n[mixed] == 0 {
			break
		}
	}
	return least
}

// utilization returns how busy the engines of a role are, between 0 and 1: the utilization of the region's capacity for
// the role's kind of work, for mixed engines that of the busier kind.
func utilization(n counts, c *Capacities, d Demand, role int) float64 {
	perEngine := [3]Capacity{c.forRole(mixed), c.forRole(prefill), c.forRole(decode)}
	var total Capacity
	for i := range n {
		total.Prefill += float64(n[i]) * perEngine[i].Prefill
		total.Decode += float64(n[i]) * perEngine[i].Decode
	}
	var share float64
	if total.Prefill > 0 && role != decode {
		share = max(share, d.Prefill/total.Prefill)
	}
	if total.Decode > 0 && role != prefill {
		share = max(share, d.Decode/total.Decode)
	}
	return min(1, share)
}
