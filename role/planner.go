// Package role plans the roles of a region's engines. The planner is a deterministic function of the reports given to
// it and of its memory, so that traces can be replayed through it.
//
// A change has a price: the work that the engine does not do while it is drained and changed, and the configured price.
// The planner adds up the work that is lost by staying with the present roles instead of the best alternative, and
// orders the change when this sum reaches the price. This is the rule of ski rental: it loses at most twice what the
// best decision in hindsight loses, and both hysteresis and dwell time follow from the price.
package role

import (
	"time"

	"rhubarbpoint/engine"
)

// option is a change from one role to another.
type option struct{ from, to int }

// Planner plans the role changes of one region. It is not safe for concurrent use.
type Planner struct {
	policy     Policy
	capacities Capacities
	demand     Demand
	last       time.Time
	// regret is the work lost so far by not having made each change, in seconds of one engine.
	regret map[option]float64
	// changed is the time of the last change; drained is the mean time until an engine was empty, in seconds.
	changed time.Time
	drained float64
	// paid is the price of the last change, in seconds of one engine: also the time for which it stays.
	paid float64
}

// NewPlanner returns a planner without memory.
func NewPlanner(policy Policy) *Planner {
	return &Planner{policy: policy, regret: make(map[option]float64)}
}

// SetPolicy changes the price of changes.
func (p *Planner) SetPolicy(policy Policy) { p.policy = policy }

// Demand returns the estimate, for the state dump.
func (p *Planner) Demand() Demand { return p.demand }

// ChangeEnded tells the planner that a change has ended, and how long the engine took until it was empty.
func (p *Planner) ChangeEnded(now time.Time, drain time.Duration) {
	p.changed = now
	if p.drained == 0 {
		p.drained = drain.Seconds()
		return
	}
	p.drained += 0.3 * (drain.Seconds() - p.drained) // a few changes an hour: the last ones count most
}

// maxGap is the longest time between two inputs that counts as observed. After a longer one the memory is stale.
const maxGap = 10 * time.Second

// Plan takes the newest reports and returns a change to make now, or nil.
func (p *Planner) Plan(in *Input) *Change {
	dt := in.Now.Sub(p.last).Seconds()
	first := p.last.IsZero() || in.Now.Sub(p.last) > maxGap
	p.last = in.Now
	for i := range in.Engines {
		if in.Engines[i].Usable {
			p.capacities.observe(&in.Engines[i])
		}
	}
	sample := measure(in)
	if first {
		p.demand = sample
		clear(p.regret)
		return nil
	}
	p.demand.follow(sample, dt)
	if in.Changing || !in.ChangesAllowed {
		clear(p.regret)
		return nil
	}
	n := usable(in)
	if p.dwelling(in.Now) {
		clear(p.regret) // the engine warms up its cache, so its load says little
		return nil
	}
	p.accumulate(n, dt)
	return p.best(in, n)
}

// dwelling says whether the last change is so recent that its engine has not yet served for as long as it cost.
func (p *Planner) dwelling(now time.Time) bool {
	return !p.changed.IsZero() && now.Sub(p.changed).Seconds() < p.paid
}

func usable(in *Input) counts {
	var n counts
	for i := range in.Engines {
		if in.Engines[i].Usable {
			n[indexOf(in.Engines[i].Role)]++
		}
	}
	return n
}

// accumulate adds what was lost in dt by not having made each possible change.
func (p *Planner) accumulate(n counts, dt float64) {
	now := loss(n, &p.capacities, p.demand)
	for from := range n {
		for to := range n {
			if from == to {
				continue
			}
			o := option{from, to}
			if !allowed(n, o) {
				delete(p.regret, o)
				continue
			}
			p.regret[o] = max(0, p.regret[o]+dt*(now-loss(n.after(o), &p.capacities, p.demand)))
		}
	}
}

// splitFrom is the number of engines from which no engine becomes mixed: each kind of work can have an engine of its own
// and one is left to move between them. In replays a mixed engine beside them served both kinds of work worse.
const splitFrom = 3

// allowed says whether a change leaves each kind of work that some engine does with another engine, also while the
// changed engine is away. A kind that no engine does any more, because the last one was withdrawn, does not bar it.
func allowed(n counts, o option) bool {
	if n[o.from] == 0 {
		return false
	}
	if o.to == mixed && n[mixed]+n[prefill]+n[decode] >= splitFrom {
		return false
	}
	before := n
	n[o.from]--
	return (n.prefills() > 0 || before.prefills() == 0) && (n.decodes() > 0 || before.decodes() == 0)
}

// rewarmShare is the part of an engine's prefix cache that has to be processed again after a change. It is above 1 since
// the prefixes that move to other engines push some out of the caches there.
const rewarmShare = 1.2

// disturbance is how much work is lost for each second of work that the changed engine does not do. While it drains,
// the rest of its role takes over all new work at once; replays lose about twice what the absence itself costs.
const disturbance = 2.0

// price is the work that a change costs, in seconds of one engine: the share of the engine's time that is in use, for
// the time until it is empty and changed, and the configured price.
func (p *Planner) price(in *Input, n counts, o option) float64 {
	away := p.policy.ChangeTime.Seconds() + p.drained/2 // the engine works on half of its requests on average while it drains
	warm := 0.0
	if e := p.cheapest(in, roles[o.from]); e != nil && p.capacities.full().Prefill > 0 {
		warm = rewarmShare * e.CachedTokens / p.capacities.full().Prefill
	}
	return p.policy.ChangeCost + warm + disturbance*away*use(n, &p.capacities, p.demand, o.from)
}

// best returns the change whose regret exceeds its price by most.
func (p *Planner) best(in *Input, n counts) *Change {
	var chosen option
	excess := 0.0
	for from := range n {
		for to := range n {
			o := option{from, to}
			if from == to || !allowed(n, o) {
				continue
			}
			gain := loss(n, &p.capacities, p.demand) - loss(n.after(o), &p.capacities, p.demand)
			if over := p.regret[o] - p.price(in, n, o); over > excess && gain > 0 {
				chosen, excess = o, over
			}
		}
	}
	if excess <= 0 {
		return nil
	}
	e := p.cheapest(in, roles[chosen.from])
	if e == nil {
		return nil
	}
	gain := loss(n, &p.capacities, p.demand) - loss(n.after(chosen), &p.capacities, p.demand)
	clear(p.regret)
	p.paid = p.price(in, n, chosen)
	return &Change{EngineID: e.ID, From: roles[chosen.from], To: roles[chosen.to], Gain: gain}
}

// cheapest returns the usable engine of a role with the least cache to lose and the fewest requests to finish.
func (p *Planner) cheapest(in *Input, from engine.Role) *Engine {
	var found *Engine
	least := 0.0
	for i := range in.Engines {
		e := &in.Engines[i]
		if !e.Usable || e.Role != from {
			continue
		}
		cost := (e.Running + e.Waiting) / max(e.MaxRunning, 1)
		if rate := p.capacities.full().Prefill; rate > 0 {
			cost += rewarmShare * e.CachedTokens / rate
		}
		if found == nil || cost < least {
			found, least = e, cost
		}
	}
	return found
}
