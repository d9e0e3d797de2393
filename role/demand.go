package role

import "math"

// Demand is the work that the region is asked for.
type Demand struct {
	// Prefill is in prompt tokens/s, Decode in output tokens/s.
	Prefill, Decode float64
}

// demandMemory is the time constant of the estimate in seconds. It must exceed the time between two requests at one
// engine by far, else the sampled load of a few requests looks like a shift of the mix.
const demandMemory = 8.0

// backlogSeconds is the time within which waiting prompts must be processed: about the target of the first token.
const backlogSeconds = 1.0

// measure returns the demand that one set of reports shows. Prompts that decode engines process beside their batch are
// left out: they need no other engine.
func measure(in *Input) Demand {
	d := Demand{Prefill: in.UnmetPrefill, Decode: in.UnmetDecode}
	for i := range in.Engines {
		e := &in.Engines[i]
		role := indexOf(e.Role)
		if role != decode {
			d.Prefill += e.ArrivalRate*e.PrefillPerArrival + e.WaitingTokens/(backlogSeconds+demandMemory)
		}
		if role != prefill {
			d.Decode += e.ArrivalRate * e.DecodePerArrival
		}
	}
	return d
}

// follow moves the estimate towards a sample that stands for dt seconds.
func (d *Demand) follow(sample Demand, dt float64) {
	weight := 1 - math.Exp(-dt/demandMemory)
	d.Prefill += weight * (sample.Prefill - d.Prefill)
	d.Decode += weight * (sample.Decode - d.Decode)
}
