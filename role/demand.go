package role

import "math"

// Demand is the rate of work that arrives in the region.
type Demand struct {
	// Prefill is in prompt tokens/s, Decode in output tokens/s.
	Prefill, Decode float64
}

// demandTimeConstant is the time constant of the demand estimate in seconds. It must be much longer than the time
// between two requests at one engine. Otherwise the sampled load of a few requests looks like a shift of the mix of
// prefill and decode work.
const demandTimeConstant = 8.0

// backlogSeconds is the time within which waiting prompts must be processed: about the latency target of the first
// token.
const backlogSeconds = 1.0

// sampleDemand returns the demand that one set of reports shows. It leaves out the prompts that decode engines process
// along with their batch, since these need no other engine.
func sampleDemand(in *Input) Demand {
	d := Demand{Prefill: in.UnmetPrefill, Decode: in.UnmetDecode}
	for i := range in.Engines {
		e := &in.Engines[i]
		role := roleIndex(e.Role)
		if role != decode {
			d.Prefill += e.ArrivalRate*e.PrefillPerArrival + e.WaitingTokens/(backlogSeconds+demandTimeConstant)
		}
		if role != prefill {
			d.Decode += e.ArrivalRate * e.DecodePerArrival
		}
	}
	return d
}

// smooth moves the estimate towards a sample that covers dt seconds (exponential smoothing).
func (d *Demand) smooth(sample Demand, dt float64) {
	weight := 1 - math.Exp(-dt/demandTimeConstant)
	d.Prefill += weight * (sample.Prefill - d.Prefill)
	d.Decode += weight * (sample.Decode - d.Decode)
}
