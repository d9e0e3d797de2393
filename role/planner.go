// Package role plans the roles of a region's engines. The planner's decisions depend only on its state and on the
// reports given to it, so that traces can be replayed through it.
//
// A change has a cost: the work that the engine does not do while it is drained and changed, and the configured cost.
// For each possible change the planner adds up the work lost by not having made it (the regret), and makes the change
// when this sum exceeds the cost. This is the break-even rule of the ski rental problem: it loses at most twice what
// the best decision in hindsight loses, and both hysteresis and dwell time follow from the cost.
package role

import (
	"time"

	"rhubarbpoint/engine"
)

// transition is a change from one role to another, given by their array indexes.
type transition struct{ from, to int }

// Planner plans the role changes of one region. It is not safe for concurrent use.
type Planner struct {
	policy     Policy
	capacities Capacities
	demand     Demand
	lastPlan   time.Time
	// regret is the work lost so far by not having made each change, in engine-seconds.
	regret map[transition]float64
	// lastChange is when the last change ended. meanDrain is the mean time until an engine was empty, in seconds.
	lastChange time.Time
	meanDrain  float64
	// lastCost is the cost of the last change in engine-seconds. It is also the dwell time after that change.
	lastCost float64
}

// NewPlanner returns a planner that has seen no reports.
func NewPlanner(policy Policy) *Planner {
	return &Planner{policy: policy, regret: make(map[transition]float64)}
}

// SetPolicy sets what a change costs from now on.
func (p *Planner) SetPolicy(policy Policy) { p.policy = policy }

// Demand returns the estimated demand, for the state dump.
func (p *Planner) Demand() Demand { return p.demand }

// ChangeEnded records that a change has ended and how long the engine took to drain.
func (p *Planner) ChangeEnded(now time.Time, drain time.Duration) {
	p.lastChange = now
	if p.meanDrain == 0 {
		p.meanDrain = drain.Seconds()
		return
	}
	p.meanDrain += 0.3 * (drain.Seconds() - p.meanDrain) // only a few changes an hour, so the latest count most
}

// maxInputGap is the longest time between two inputs for which the demand is taken as observed. After a longer gap the
// demand estimate and the regret are stale and start anew.
const maxInputGap = 10 * time.Second

// Plan updates the estimates from the latest reports and returns a change to make now, or nil.
func (p *Planner) Plan(in *Input) *Change {
	dt := in.Now.Sub(p.lastPlan).Seconds()
	first := p.lastPlan.IsZero() || in.Now.Sub(p.lastPlan) > maxInputGap
	p.lastPlan = in.Now
	for i := range in.Engines {
		if in.Engines[i].Usable {
			p.capacities.observe(&in.Engines[i])
		}
	}
	sample := sampleDemand(in)
	if first {
		p.demand = sample
		clear(p.regret)
		return nil
	}
	p.demand.smooth(sample, dt)
	if in.Changing || !in.ChangesAllowed {
		clear(p.regret)
		return nil
	}
	n := countUsable(in)
	if p.inDwellTime(in.Now) {
		clear(p.regret) // the changed engine's cache is warming up, so its load says little
		return nil
	}
	p.accumulateRegret(n, dt)
	return p.bestChange(in, n)
}

// inDwellTime reports whether the last change was so recent that its engine has not yet served for as long as the
// change cost.
func (p *Planner) inDwellTime(now time.Time) bool {
	return !p.lastChange.IsZero() && now.Sub(p.lastChange).Seconds() < p.lastCost
}

// countUsable returns the number of usable engines in each role.
func countUsable(in *Input) counts {
	var n counts
	for i := range in.Engines {
		if in.Engines[i].Usable {
			n[roleIndex(in.Engines[i].Role)]++
		}
	}
	return n
}

// accumulateRegret adds the work lost in dt seconds by not having made each possible change.
func (p *Planner) accumulateRegret(n counts, dt float64) {
	current := lostWork(n, &p.capacities, p.demand)
	for from := range n {
		for to := range n {
			if from == to {
				continue
			}
			t := transition{from, to}
			if !allowed(n, t) {
				delete(p.regret, t)
				continue
			}
			p.regret[t] = max(0, p.regret[t]+dt*(current-lostWork(n.after(t), &p.capacities, p.demand)))
		}
	}
}

// minEnginesWithoutMixed is the number of engines from which on no engine is made mixed. Each kind of work can have an
// engine of its own then, and one is left to move between them. In replays, a mixed engine in addition to dedicated
// ones served both kinds of work worse.
const minEnginesWithoutMixed = 3

// allowed reports whether every kind of work that some engine does now is also done by another engine while the changed
// engine is out of service. A kind of work that no engine does any more, because the last one became unusable, does
// not prevent a change.
func allowed(n counts, t transition) bool {
	if n[t.from] == 0 {
		return false
	}
	if t.to == mixed && n[mixed]+n[prefill]+n[decode] >= minEnginesWithoutMixed {
		return false
	}
	before := n
	n[t.from]--
	return (n.prefillEngines() > 0 || before.prefillEngines() == 0) &&
		(n.decodeEngines() > 0 || before.decodeEngines() == 0)
}

// rewarmShare is the part of an engine's prefix cache that has to be computed again after a change. It is above 1 since
// the prefixes that move to other engines evict others from the caches there.
const rewarmShare = 1.2

// absenceLossFactor is how much work is lost for each second of work that the changed engine does not do. When it
// starts to drain, the other engines of its role take over all new work at once; replays lose about twice what the
// absence itself costs.
const absenceLossFactor = 2.0

// cost returns the work that a change costs, in engine-seconds: the configured cost, the recomputation of the engine's
// prefix cache, and the work lost while the engine drains and is changed.
func (p *Planner) cost(in *Input, n counts, t transition) float64 {
	// While it drains, the engine runs half of its requests on average.
	absence := p.policy.ChangeTime.Seconds() + p.meanDrain/2
	rewarm := 0.0
	if e := p.cheapestEngine(in, roles[t.from]); e != nil && p.capacities.dedicated().Prefill > 0 {
		rewarm = rewarmShare * e.CachedTokens / p.capacities.dedicated().Prefill
	}
	return p.policy.ChangeCost + rewarm + absenceLossFactor*absence*utilization(n, &p.capacities, p.demand, t.from)
}

// bestChange returns the change whose regret exceeds its cost by most, or nil if none does.
func (p *Planner) bestChange(in *Input, n counts) *Change {
	var chosen transition
	excess := 0.0
	for from := range n {
		for to := range n {
			t := transition{from, to}
			if from == to || !allowed(n, t) {
				continue
			}
			gain := lostWork(n, &p.capacities, p.demand) - lostWork(n.after(t), &p.capacities, p.demand)
			if over := p.regret[t] - p.cost(in, n, t); over > excess && gain > 0 {
				chosen, excess = t, over
			}
		}
	}
	if excess <= 0 {
		return nil
	}
	e := p.cheapestEngine(in, roles[chosen.from])
	if e == nil {
		return nil
	}
	gain := lostWork(n, &p.capacities, p.demand) - lostWork(n.after(chosen), &p.capacities, p.demand)
	clear(p.regret)
	p.lastCost = p.cost(in, n, chosen)
	return &Change{EngineID: e.ID, From: roles[chosen.from], To: roles[chosen.to], Gain: gain}
}

// cheapestEngine returns the usable engine of a role that has the least cache to lose and the fewest requests to
// finish, or nil if the role has no usable engine.
func (p *Planner) cheapestEngine(in *Input, from engine.Role) *Engine {
	var found *Engine
	least := 0.0
	for i := range in.Engines {
		e := &in.Engines[i]
		if !e.Usable || e.Role != from {
			continue
		}
		cost := (e.Running + e.Waiting) / max(e.MaxRunning, 1)
		if rate := p.capacities.dedicated().Prefill; rate > 0 {
			cost += rewarmShare * e.CachedTokens / rate
		}
		if found == nil || cost < least {
			found, least = e, cost
		}
	}
	return found
}
