package route

import (
	"rhubarbpoint/engine"
)

// option is one way to run a request: on one engine, or prefill on one and decode on another.
type option struct {
	prefill          *upstream // nil when the decode engine also processes the prompt
	decode           *upstream
	firstToken       float64 // estimated seconds to the first token
	finish           float64 // estimated seconds to the last token
	cost             float64 // work in seconds of one engine
	uncached         float64 // prompt tokens to process
	score            float64 // seconds, with the costs for other requests and for traffic between regions
	uncertainty      float64 // possible error of the estimate in seconds
	wait             float64 // queueing delay in seconds
	slowStep         bool    // the batch would be slower than the target
	halfFull         bool    // more than half of the batch slots are in use
	ownShare         float64 // this instance's share of the arrivals at the engine
	batchAtHoldLimit bool    // the free batch slots are kept for requests that are in time
}

func (o *option) choice() Choice {
	c := Choice{EngineID: o.decode.cfg.ID, Address: o.decode.cfg.Address, FirstToken: seconds(o.firstToken),
		Finish: seconds(o.finish), Cost: o.cost, UncachedTokens: int(o.uncached)}
	if o.prefill != nil {
		c.PrefillID, c.PrefillAddress = o.prefill.cfg.ID, o.prefill.cfg.Address
	}
	return c
}

// equivalent reports whether two options are equally good within the uncertainty of the estimates. An option that has
// at least one more prefix block in its cache is always better: what the other one processes again delays later
// requests too.
func equivalent(best, second *option) bool {
	if second.uncached-best.uncached >= engine.BlockTokens {
		return false
	}
	return second.score-best.score <= equivalentScore+(best.uncertainty+second.uncertainty)/2
}

func earliestFirstToken(options []option) *option {
	var best *option
	for i := range options {
		if best == nil || options[i].firstToken < best.firstToken {
			best = &options[i]
		}
	}
	return best
}

func earliestFinish(options []option) *option {
	best := &options[0]
	for i := range options {
		if options[i].finish < best.finish {
			best = &options[i]
		}
	}
	return best
}
