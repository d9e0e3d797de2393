package bench

import (
	"time"

	"rhubarbpoint/engine"
	"rhubarbpoint/internal/simclock"
	"rhubarbpoint/role"
	"rhubarbpoint/role/controller"
)

// move is one entry of a schedule: at a time, an engine goes from one role to another.
type move struct {
	at       time.Duration
	from, to engine.Role
}

// scheduled is a planner that follows a schedule made in hindsight.
type scheduled struct {
	moves []move
	next  int
}

// Plan implements controller.Planner.
func (s *scheduled) Plan(in *role.Input) *role.Change {
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
	return change(best, m.to)
}

// ChangeEnded implements controller.Planner.
func (s *scheduled) ChangeEnded(time.Time, time.Duration) {}

// schedulePolicy is a policy whose regions follow the schedules from the given roles.
func schedulePolicy(name string, roles [Regions]rolesOfRegion, moves [Regions][]move) Policy {
	return Policy{Name: name, regionRoles: &roles, planner: func(region int) controller.Planner {
		return &scheduled{moves: moves[region]}
	}}
}
