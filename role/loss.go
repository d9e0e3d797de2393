package role

import "math"

// counts is the number of engines in each role.
type counts [3]int

func (n counts) prefills() int { return n[prefill] + n[mixed] }
func (n counts) decodes() int  { return n[decode] + n[mixed] }

func (n counts) after(o option) counts {
	n[o.from]--
	n[o.to]++
	return n
}

// mixedSplits is the number of steps in which the use of mixed engines is divided between prefill and decode.
const mixedSplits = 10

// uncovered is the loss while no engine does a kind of work: all requests of a region fail, however few there are.
const uncovered = 10.0

// The share of late prompts grows with the use of the prefill engines: with its fourth power, to lateWhenFull at full
// use. A prompt takes up to the target time itself, so the queue makes most of them late when the work equals the
// capacity. A batch serves many requests side by side, so answers are in time up to full use.
const (
	lateWhenFull = 0.7
	latePower    = 4
)

// prefillInTime returns the prompt tokens/s that are processed in time.
func prefillInTime(demand, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	use := min(1, demand/capacity)
	return capacity * use * (1 - lateWhenFull*math.Pow(use, latePower))
}

// loss returns the work that the engines cannot do in time, in seconds of one engine for each second.
func loss(n counts, c *Capacities, d Demand) float64 {
	if n.prefills() == 0 || n.decodes() == 0 {
		return uncovered
	}
	full := c.full()
	if full.Prefill <= 0 || full.Decode <= 0 {
		return 0 // no report yet of an engine that does this kind of work
	}
	m, p, q := c.role(mixed), c.role(prefill), c.role(decode)
	best := math.Inf(1)
	for i := 0; i <= mixedSplits; i++ {
		share := float64(i) / mixedSplits
		prefillRoom := float64(n[prefill])*p.Prefill + float64(n[mixed])*share*m.Prefill
		decodeRoom := float64(n[decode])*q.Decode + float64(n[mixed])*(1-share)*m.Decode
		total := (d.Prefill-prefillInTime(d.Prefill, prefillRoom))/full.Prefill + (d.Decode-min(d.Decode, decodeRoom))/full.Decode
		best = min(best, total)
		if n[mixed] == 0 {
			break
		}
	}
	return best
}

// use returns the share of one engine's capacity that is in use in a role.
func use(n counts, c *Capacities, d Demand, role int) float64 {
	total := [3]Capacity{c.role(mixed), c.role(prefill), c.role(decode)}
	var room Capacity
	for i := range n {
		room.Prefill += float64(n[i]) * total[i].Prefill
		room.Decode += float64(n[i]) * total[i].Decode
	}
	var share float64
	if room.Prefill > 0 && role != decode {
		share = max(share, d.Prefill/room.Prefill)
	}
	if room.Decode > 0 && role != prefill {
		share = max(share, d.Decode/room.Decode)
	}
	return min(1, share)
}
