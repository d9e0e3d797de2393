package route

import (
	"rhubarbpoint/engine"
)

// option is one way to run a request.
type option struct {
	prefill *upstream // nil when the engine processes the prompt itself
	decode  *upstream
	first   float64 // estimated seconds to the first token
	finish  float64 // estimated seconds to the last token
	cost    float64 // work in seconds of one engine
	todo    float64 // prompt tokens to process
	score   float64 // seconds, with the harm to others and the price of bytes
	doubt   float64
	queue   float64 // seconds of waiting behind others
	slow    bool    // the batch would be slower than the target
	full    bool    // more than half of the batch is in use
	share   float64 // this instance's part of the arrivals at the engine
	crowded bool    // the batch has no room beyond what requests that are in time may need
}

func (o *option) choice() Choice {
	c := Choice{EngineID: o.decode.cfg.ID, Address: o.decode.cfg.Address, FirstToken: seconds(o.first),
		Finish: seconds(o.finish), Cost: o.cost, UncachedTokens: int(o.todo)}
	if o.prefill != nil {
		c.PrefillID, c.PrefillAddress = o.prefill.cfg.ID, o.prefill.cfg.Address
	}
	return c
}

// equal says whether two options are equally good as far as the estimates can tell. An option that finds more of the
// prompt in its cache is better for certain: what the other one processes again delays later requests too.
func equal(best, second *option) bool {
	if second.todo-best.todo >= engine.BlockTokens {
		return false
	}
	return second.score-best.score <= equalScore+(best.doubt+second.doubt)/2
}

func bestOf(options []option) *option {
	var best *option
	for i := range options {
		if best == nil || options[i].first < best.first {
			best = &options[i]
		}
	}
	return best
}

func earliest(options []option) *option {
	best := &options[0]
	for i := range options {
		if options[i].finish < best.finish {
			best = &options[i]
		}
	}
	return best
}
