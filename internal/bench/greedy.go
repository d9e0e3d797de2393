package bench

import (
	"time"

	"rhubarbpoint/engine"
	"rhubarbpoint/role"
)

// greedy is a planner that changes a role as soon as either prefill or decode is over its threshold and the other is
// not. It gets the same load reports and uses the same controller as the project's planner, so only the decision
// differs.
type greedy struct{}

const (
	// greedyBacklog is the threshold of the prefill backlog in seconds, greedyBatchShare that of the share of batch slots
	// in use.
	greedyBacklog    = 0.5
	greedyBatchShare = 0.85
)

// Plan implements controller.Planner.
func (g *greedy) Plan(in *role.Input) *role.Change {
	if !in.ChangesAllowed || in.Changing {
		return nil
	}
	var prefills, decodes []*role.Engine
	var tokens, rate, running, slots float64
	for i := range in.Engines {
		e := &in.Engines[i]
		if !e.Usable {
			continue
		}
		if e.Role == engine.RolePrefill {
			prefills = append(prefills, e)
			tokens, rate = tokens+e.WaitingTokens, rate+e.PrefillRate
		} else {
			decodes = append(decodes, e)
			running, slots = running+e.Running+e.Waiting, slots+e.MaxRunning
		}
	}
	prefillOverloaded := rate == 0 || tokens/rate > greedyBacklog || in.UnmetPrefill > 0.05*rate
	decodeOverloaded := slots == 0 || running/slots > greedyBatchShare
	switch {
	case prefillOverloaded && !decodeOverloaded && len(decodes) > 1:
		return roleChange(leastLoaded(decodes), engine.RolePrefill)
	case decodeOverloaded && !prefillOverloaded && len(prefills) > 1:
		return roleChange(leastLoaded(prefills), engine.RoleDecode)
	}
	return nil
}

// ChangeEnded implements controller.Planner.
func (g *greedy) ChangeEnded(time.Time, time.Duration) {}

// leastLoaded returns the engine with the fewest requests.
func leastLoaded(list []*role.Engine) *role.Engine {
	best := list[0]
	for _, e := range list[1:] {
		if e.Running+e.Waiting < best.Running+best.Waiting {
			best = e
		}
	}
	return best
}

func roleChange(e *role.Engine, to engine.Role) *role.Change {
	return &role.Change{EngineID: e.ID, From: e.Role, To: to}
}
