package bench

import (
	"math"
	"slices"
	"sync"
	"time"

	"rhubarbpoint/engine"
)

// engineRoles are the roles of a region's engines. An engine with an empty role is absent.
type engineRoles [EnginesPerRegion]engine.Role

// regionStates are the combinations of roles in which both prefill and decode are served.
var regionStates = []engineRoles{
	{mixedRole, mixedRole, mixedRole},
	{prefillRole, mixedRole, mixedRole},
	{mixedRole, mixedRole, decodeRole},
	{prefillRole, prefillRole, mixedRole},
	{prefillRole, mixedRole, decodeRole},
	{mixedRole, decodeRole, decodeRole},
	{prefillRole, prefillRole, decodeRole},
	{prefillRole, decodeRole, decodeRole},
}

// partialStates are the combinations in which one engine is absent.
var partialStates = []engineRoles{
	{mixedRole, mixedRole, ""},
	{prefillRole, mixedRole, ""},
	{mixedRole, decodeRole, ""},
	{prefillRole, decodeRole, ""},
}

// Optimum is the best role schedule found in hindsight.
type Optimum struct {
	// Best is the best replay found. Its schedule is achievable, since the replay uses the same controller, drains and
	// routing as the other policies.
	Best *Result
	// Estimate is the goodput that the dynamic program predicts. It is not a bound, since it adds up time slots of
	// different replays with fixed roles, each with its own backlog.
	Estimate float64
	// BestStatic is the best replay with roles that never change and are the same in all regions.
	BestStatic *Result
	// Replays is the number of schedules that were replayed.
	Replays int
}

// optimize searches for the role schedule with the most good completions in hindsight. It replays the trace with each
// fixed combination of roles and counts the good completions of each region and time slot. For each region a dynamic
// program over the time slots then chooses the sequence of combinations with the largest sum, where a change takes
// changeSlots slots in which the other engines serve alone. The sequences are replayed. The best of these replays and
// of plannerResults is then improved by local search, see improve.
func optimize(trace *Trace, seed uint64, pool *pool, plannerResults []*Result) *Optimum {
	search := &search{trace: trace, seed: seed, pool: pool}
	fixed := search.replayFixed(regionStates)
	partial := search.replayFixed(partialStates)
	for i, r := range fixed {
		search.keepIfBetter(r, allRegions(regionStates[i]), [Regions][]move{})
	}
	static := *search.bestResult
	static.Policy = policyBestStatic
	for _, r := range plannerResults {
		search.keepIfBetter(r, initialRoles(r), movesFrom(r))
	}
	opt := &Optimum{BestStatic: &static}
	var candidates []candidate
	for changeSlots := 1; changeSlots <= 3; changeSlots++ {
		var c candidate
		total := 0.0
		for region := range Regions {
			value, path := bestPath(fixed, partial, region, changeSlots)
			total += value
			c.roles[region], c.moves[region] = schedule(path)
		}
		if changeSlots == 2 {
			opt.Estimate = total / (trace.Length - trace.warmup()).Seconds()
		}
		for _, by := range []time.Duration{0, 10 * time.Second} {
			candidates = append(candidates, c.earlier(by))
		}
	}
	search.replay(candidates)
	search.improve()
	opt.Best, opt.Replays = search.bestResult, search.replays
	return opt
}

// candidate is a schedule to replay.
type candidate struct {
	roles [Regions]engineRoles
	moves [Regions][]move
}

// clone returns a copy that shares no moves with c.
func (c candidate) clone() candidate {
	for i := range c.moves {
		c.moves[i] = slices.Clone(c.moves[i])
	}
	return c
}

// earlier returns a copy in which each move happens earlier.
func (c candidate) earlier(by time.Duration) candidate {
	c = c.clone()
	for i := range c.moves {
		for j := range c.moves[i] {
			c.moves[i][j].at = max(0, c.moves[i][j].at-by)
		}
	}
	return c
}

// allRegions returns the same roles for each region.
func allRegions(r engineRoles) (all [Regions]engineRoles) {
	for i := range all {
		all[i] = r
	}
	return all
}

// search holds the state of a search: the best schedule so far and its result.
type search struct {
	trace      *Trace
	seed       uint64
	pool       *pool
	bestResult *Result
	best       candidate
	replays    int
}

// keepIfBetter makes a schedule the best one if its result is better. It reports whether it did.
func (s *search) keepIfBetter(r *Result, roles [Regions]engineRoles, moves [Regions][]move) bool {
	if s.bestResult != nil && r.Good <= s.bestResult.Good {
		return false
	}
	renamed := *r
	renamed.Policy = policyOptimum
	s.bestResult, s.best = &renamed, candidate{roles, moves}
	return true
}

// replayFixed replays the trace with roles that never change.
func (s *search) replayFixed(states []engineRoles) []*Result {
	results := make([]*Result, len(states))
	var group sync.WaitGroup
	for i, state := range states {
		s.pool.run(&group, func() {
			roles := allRegions(state)
			results[i] = Run(s.trace, Policy{Name: policyOptimum, regionRoles: &roles}, s.seed, EntriesPerRegion)
		})
	}
	group.Wait()
	s.replays += len(states)
	return results
}

// replay replays schedules and keeps the best. It reports whether one was better than all before.
func (s *search) replay(list []candidate) bool {
	results := make([]*Result, len(list))
	var group sync.WaitGroup
	for i, c := range list {
		s.pool.run(&group, func() {
			results[i] = Run(s.trace, schedulePolicy(policyOptimum, c.roles, c.moves), s.seed, EntriesPerRegion)
		})
	}
	group.Wait()
	s.replays += len(list)
	better := false
	for i, r := range results {
		better = s.keepIfBetter(r, list[i].roles, list[i].moves) || better
	}
	return better
}

// improveRounds limits the duration of the search.
const improveRounds = 4

// improve replays small variations of the best schedule until none is better, for at most improveRounds rounds. Regions
// hardly affect each other, so each variation changes one region.
func (s *search) improve() {
	for range improveRounds {
		if !s.replay(s.variations()) {
			return
		}
	}
}

// variations returns the schedules that differ from the best one in a single region: all its moves are shifted, one
// move is shifted or dropped, or, if it has no moves, its roles are replaced.
func (s *search) variations() []candidate {
	var list []candidate
	for _, shift := range []time.Duration{-15 * time.Second, -5 * time.Second, 5 * time.Second, 15 * time.Second} {
		for region := range Regions {
			c := s.best.clone()
			for j := range c.moves[region] {
				c.moves[region][j].at = max(0, c.moves[region][j].at+shift)
			}
			list = append(list, c)
		}
	}
	for region := range Regions {
		for j := range s.best.moves[region] {
			c := s.best.clone()
			c.moves[region] = slices.Delete(c.moves[region], j, j+1)
			list = append(list, c)
			for _, shift := range []time.Duration{-10 * time.Second, 10 * time.Second} {
				d := s.best.clone()
				d.moves[region][j].at = max(0, d.moves[region][j].at+shift)
				list = append(list, d)
			}
		}
		for _, state := range regionStates {
			if len(s.best.moves[region]) == 0 && state != s.best.roles[region] {
				c := s.best.clone()
				c.roles[region] = state
				list = append(list, c)
			}
		}
	}
	return list
}

// bestPath is the dynamic program of one region. fixed and partial are the results of regionStates and partialStates.
// It returns the largest sum of good completions and the index in regionStates for each time slot.
func bestPath(fixed, partial []*Result, region, changeSlots int) (float64, []int) {
	slots := len(fixed[0].GoodBySlot[region])
	value := make([][]float64, slots+1)
	from := make([][]int, slots+1)  // preceding state
	since := make([][]int, slots+1) // time slot of the preceding state
	for t := range value {
		value[t] = make([]float64, len(fixed))
		from[t] = make([]int, len(fixed))
		since[t] = make([]int, len(fixed))
		for s := range fixed {
			value[t][s] = math.Inf(-1)
			if t == 0 {
				value[t][s] = 0
			}
		}
	}
	relax := func(t, s int, v float64, fromState, fromSlot int) {
		if v > value[t][s] {
			value[t][s], from[t][s], since[t][s] = v, fromState, fromSlot
		}
	}
	for t := range slots {
		for s := range fixed {
			relax(t+1, s, value[t][s]+float64(fixed[s].GoodBySlot[region][t]), s, t)
			for to := range fixed {
				during := partialState(regionStates[s], regionStates[to])
				if during < 0 {
					continue
				}
				end, sum := min(slots, t+changeSlots), value[t][s]
				for k := t; k < end; k++ {
					sum += float64(partial[during].GoodBySlot[region][k])
				}
				relax(end, to, sum, s, t)
			}
		}
	}
	return backtrack(value, from, since, slots)
}

// backtrack returns the largest value and the states on the path to it.
func backtrack(value [][]float64, from, since [][]int, slots int) (float64, []int) {
	best := 0
	for s := range value[slots] {
		if value[slots][s] > value[slots][best] {
			best = s
		}
	}
	path := make([]int, slots)
	for t, s := slots, best; t > 0; {
		before, at := from[t][s], since[t][s]
		for k := at; k < t; k++ {
			path[k] = s
		}
		t, s = at, before
	}
	return value[slots][best], path
}

// partialState returns the index in partialStates of the engines that keep their roles in a change between two states,
// or -1 if the states are equal or differ by more than one engine.
func partialState(a, b engineRoles) int {
	if a == b {
		return -1
	}
	for i := range a {
		rest := slices.Delete(slices.Clone(a[:]), i, i+1)
		for j := range b {
			if sameRoles(rest, slices.Delete(slices.Clone(b[:]), j, j+1)) {
				for k, state := range partialStates {
					if sameRoles(rest, state[:2]) {
						return k
					}
				}
			}
		}
	}
	return -1
}

// sameRoles compares roles regardless of their order.
func sameRoles(a, b []engine.Role) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

// schedule converts the states of the time slots into the initial roles and the moves.
func schedule(path []int) (engineRoles, []move) {
	var moves []move
	for t := 1; t < len(path); t++ {
		if path[t] != path[t-1] {
			m := moveBetween(regionStates[path[t-1]], regionStates[path[t]])
			m.at = time.Duration(t) * timeSlot
			moves = append(moves, m)
		}
	}
	return regionStates[path[0]], moves
}

// moveBetween returns the move between two states that differ by one engine.
func moveBetween(a, b engineRoles) move {
	var m move
	for _, r := range []engine.Role{mixedRole, prefillRole, decodeRole} {
		switch had, has := countRole(a, r), countRole(b, r); {
		case had > has:
			m.from = r
		case had < has:
			m.to = r
		}
	}
	return m
}

func countRole(roles engineRoles, role engine.Role) int {
	n := 0
	for _, r := range roles {
		if r == role {
			n++
		}
	}
	return n
}

// movesFrom returns the role changes that a planner has ordered, from the start of their drains.
func movesFrom(r *Result) [Regions][]move {
	var moves [Regions][]move
	for _, s := range r.Schedule {
		moves[s.region] = append(moves[s.region], move{at: s.drainStart, from: s.from, to: engine.Role(s.Role)})
	}
	return moves
}

// initialRoles returns the roles that all policies with a planner start from.
func initialRoles(*Result) [Regions]engineRoles { return allRegions(engineRoles(staticSplit)) }
