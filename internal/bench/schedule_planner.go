package bench

import (
	"time"

	"rhubarbpoint/engine"
	"rhubarbpoint/internal/simclock"
	"rhubarbpoint/role"
	"rhubarbpoint/role/controller"
)

// move is one entry of a schedule: at a time, one engine changes from a role to another.
type move struct {
	at       time.Duration
	from, to engine.Role
}

// schedulePlanner is a planner that carries out a schedule made in hindsight. It changes the engine with the fewest
// requests.
type schedulePlanner struct {
	moves []move
	next  int
}

// Plan implements controller.Planner.
func (s *schedulePlanner) Plan(in *role.Input) *role.Change {
	if in.Changing || s.next >= len(s.moves) {
		return nil
	}
	m := s.moves[s.next]
	if in.Now.Before(simclock.At(m.at)) {
		return nil
	}
	s.next++
	var best *role.Engine
	for i := range in.Engines {
		e := &in.Engines[i]
		if e.Usable && e.Role == m.from && (best == nil || e.Running+e.Waiting < best.Running+best.Waiting) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	return roleChange(best, m.to)
}

// ChangeEnded implements controller.Planner.
func (s *schedulePlanner) ChangeEnded(time.Time, time.Duration) {}

// schedulePolicy returns a policy whose regions start with the given roles and carry out the given schedules.
func schedulePolicy(name string, roles [Regions]engineRoles, moves [Regions][]move) Policy {
	return Policy{Name: name, regionRoles: &roles, planner: func(region int) controller.Planner {
		return &schedulePlanner{moves: moves[region]}
	}}
}
