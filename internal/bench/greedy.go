package bench

import (
	"time"

	"rhubarbpoint/engine"
	"rhubarbpoint/role"
)

// greedy changes a role as soon as one kind of work is over a threshold and the other is not. It sees the same reports
// as the project's planner and has the same controller, so it differs in the decision only.
type greedy struct{}

const (
	// greedyWait is the prefill backlog in seconds, greedyBatch the share of batch places in use.
	greedyWait  = 0.5
	greedyBatch = 0.85
)

// Plan implements controller.Planner.
func (g *greedy) Plan(in *role.Input) *role.Change {
	if !in.ChangesAllowed || in.Changing {
		return nil
	}
	var prefills, decodes []*role.Engine
	var tokens, rate, running, places float64
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
			running, places = running+e.Running+e.Waiting, places+e.MaxRunning
		}
	}
	slow := rate == 0 || tokens/rate > greedyWait || in.UnmetPrefill > 0.05*rate
	full := places == 0 || running/places > greedyBatch
	switch {
	case slow && !full && len(decodes) > 1:
		return change(least(decodes), engine.RolePrefill)
	case full && !slow && len(prefills) > 1:
		return change(least(prefills), engine.RoleDecode)
	}
	return nil
}

// ChangeEnded implements controller.Planner.
func (g *greedy) ChangeEnded(time.Time, time.Duration) {}

func least(list []*role.Engine) *role.Engine {
	best := list[0]
	for _, e := range list[1:] {
		if e.Running+e.Waiting < best.Running+best.Waiting {
			best = e
		}
	}
	return best
}

func change(e *role.Engine, to engine.Role) *role.Change {
	return &role.Change{EngineID: e.ID, From: e.Role, To: to}
}
