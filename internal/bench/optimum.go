package bench

import (
	"math"
	"slices"
	"sync"
	"time"

	"rhubarbpoint/engine"
)

// rolesOfRegion are the roles of one region's engines; an empty role is an engine that is absent.
type rolesOfRegion [EnginesPerRegion]engine.Role

// regionStates are the combinations of roles that leave no kind of work undone.
var regionStates = []rolesOfRegion{
	{mixedRole, mixedRole, mixedRole},
	{prefillRole, mixedRole, mixedRole},
	{mixedRole, mixedRole, decodeRole},
	{prefillRole, prefillRole, mixedRole},
	{prefillRole, mixedRole, decodeRole},
	{mixedRole, decodeRole, decodeRole},
	{prefillRole, prefillRole, decodeRole},
	{prefillRole, decodeRole, decodeRole},
}

// awayStates are the combinations while one engine is away.
var awayStates = []rolesOfRegion{
	{mixedRole, mixedRole, ""},
	{prefillRole, mixedRole, ""},
	{mixedRole, decodeRole, ""},
	{prefillRole, decodeRole, ""},
}

// Optimum is the best role schedule found in hindsight.
type Optimum struct {
	// Best is the best replay found. Its schedule is reachable: the same controller, drains and routing carry it out.
	Best *Result
	// Estimate is the goodput that the dynamic programme expects. It is no bound: it adds up slots of replays with fixed
	// roles, each with its own backlog.
	Estimate float64
	// BestStatic is the best replay with roles that never change, the same in all regions.
	BestStatic *Result
	// Replays is the number of schedules that were replayed.
	Replays int
}

// optimise searches the role schedule with the most good answers in hindsight. It replays the trace with each fixed
// combination of roles and notes the good answers for each region and slot of 10 s. For each region a dynamic programme
// over the slots then chooses the sequence of combinations with the largest sum, where a change takes awaySlots slots
// in which the rest of the engines serve alone. The sequences are replayed; the best replay, the schedules of the given
// results included, is then improved by moving, dropping and swapping single changes as long as a replay gets better.
func optimise(trace *Trace, seed uint64, pool *pool, known []*Result) *Optimum {
	search := &search{trace: trace, seed: seed, pool: pool}
	fixed := search.fixed(regionStates)
	away := search.fixed(awayStates)
	for i, r := range fixed {
		search.consider(r, allRegions(regionStates[i]), [Regions][]move{})
	}
	static := *search.best
	static.Policy = policyBestStatic
	for _, r := range known {
		search.consider(r, knownRoles(r), movesOf(r))
	}
	opt := &Optimum{BestStatic: &static}
	var jobs []candidate
	for awaySlots := 1; awaySlots <= 3; awaySlots++ {
		var c candidate
		total := 0.0
		for region := range Regions {
			value, path := bestPath(fixed, away, region, awaySlots)
			total += value
			c.roles[region], c.moves[region] = schedule(path)
		}
		if awaySlots == 2 {
			opt.Estimate = total / (trace.Length - trace.warmup()).Seconds()
		}
		for _, lead := range []time.Duration{0, 10 * time.Second} {
			jobs = append(jobs, c.earlier(lead))
		}
	}
	search.try(jobs)
	search.improve()
	opt.Best, opt.Replays = search.best, search.replays
	return opt
}

// candidate is a schedule to replay.
type candidate struct {
	roles [Regions]rolesOfRegion
	moves [Regions][]move
}

func (c candidate) clone() candidate {
	for i := range c.moves {
		c.moves[i] = slices.Clone(c.moves[i])
	}
	return c
}

func (c candidate) earlier(by time.Duration) candidate {
	c = c.clone()
	for i := range c.moves {
		for j := range c.moves[i] {
			c.moves[i][j].at = max(0, c.moves[i][j].at-by)
		}
	}
	return c
}

func allRegions(r rolesOfRegion) (all [Regions]rolesOfRegion) {
	for i := range all {
		all[i] = r
	}
	return all
}

// search keeps the best schedule found so far.
type search struct {
	trace   *Trace
	seed    uint64
	pool    *pool
	best    *Result
	at      candidate
	replays int
}

func (s *search) consider(r *Result, roles [Regions]rolesOfRegion, moves [Regions][]move) bool {
	if s.best != nil && r.Good <= s.best.Good {
		return false
	}
	renamed := *r
	renamed.Policy = policyOptimum
	s.best, s.at = &renamed, candidate{roles, moves}
	return true
}

// fixed replays the trace with roles that never change.
func (s *search) fixed(states []rolesOfRegion) []*Result {
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

// try replays schedules and keeps the best. It says whether there was a better one.
func (s *search) try(list []candidate) bool {
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
		better = s.consider(r, list[i].roles, list[i].moves) || better
	}
	return better
}

// improveRounds bounds the time of the search.
const improveRounds = 4

// improve tries small variations of the best schedule until none is better. Regions hardly affect each other, so each
// round varies all regions at once in the same way and each region alone.
func (s *search) improve() {
	for range improveRounds {
		if !s.try(s.variations()) {
			return
		}
	}
}

func (s *search) variations() []candidate {
	var list []candidate
	for _, shift := range []time.Duration{-15 * time.Second, -5 * time.Second, 5 * time.Second, 15 * time.Second} {
		for region := range Regions {
			c := s.at.clone()
			for j := range c.moves[region] {
				c.moves[region][j].at = max(0, c.moves[region][j].at+shift)
			}
			list = append(list, c)
		}
	}
	for region := range Regions {
		for j := range s.at.moves[region] {
			c := s.at.clone()
			c.moves[region] = slices.Delete(c.moves[region], j, j+1)
			list = append(list, c)
			for _, shift := range []time.Duration{-10 * time.Second, 10 * time.Second} {
				d := s.at.clone()
				d.moves[region][j].at = max(0, d.moves[region][j].at+shift)
				list = append(list, d)
			}
		}
		for _, state := range regionStates {
			if len(s.at.moves[region]) == 0 && state != s.at.roles[region] {
				c := s.at.clone()
				c.roles[region] = state
				list = append(list, c)
			}
		}
	}
	return list
}

// bestPath is the dynamic programme of one region. It returns the sum and the state of each slot.
func bestPath(fixed, away []*Result, region, awaySlots int) (float64, []int) {
	slots := len(fixed[0].GoodBySlot[region])
	value := make([][]float64, slots+1)
	from := make([][]int, slots+1)  // state before
	since := make([][]int, slots+1) // slot before
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
	reach := func(t, s int, v float64, fromState, fromSlot int) {
		if v > value[t][s] {
			value[t][s], from[t][s], since[t][s] = v, fromState, fromSlot
		}
	}
	for t := range slots {
		for s := range fixed {
			reach(t+1, s, value[t][s]+float64(fixed[s].GoodBySlot[region][t]), s, t)
			for to := range fixed {
				rest := between(regionStates[s], regionStates[to])
				if rest < 0 {
					continue
				}
				end, sum := min(slots, t+awaySlots), value[t][s]
				for k := t; k < end; k++ {
					sum += float64(away[rest].GoodBySlot[region][k])
				}
				reach(end, to, sum, s, t)
			}
		}
	}
	return trace(value, from, since, slots)
}

func trace(value [][]float64, from, since [][]int, slots int) (float64, []int) {
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

// between returns the away state that a change between two states passes, or -1 if they differ by more than one engine.
func between(a, b rolesOfRegion) int {
	if a == b {
		return -1
	}
	for i := range a {
		rest := slices.Delete(slices.Clone(a[:]), i, i+1)
		for j := range b {
			if sameRoles(rest, slices.Delete(slices.Clone(b[:]), j, j+1)) {
				for k, state := range awayStates {
					if sameRoles(rest, state[:2]) {
						return k
					}
				}
			}
		}
	}
	return -1
}

func sameRoles(a, b []engine.Role) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

// schedule turns the states of the slots into moves.
func schedule(path []int) (rolesOfRegion, []move) {
	var moves []move
	for t := 1; t < len(path); t++ {
		if path[t] != path[t-1] {
			m := difference(regionStates[path[t-1]], regionStates[path[t]])
			m.at = time.Duration(t) * slot
			moves = append(moves, m)
		}
	}
	return regionStates[path[0]], moves
}

// difference returns the move between two states that differ by one engine.
func difference(a, b rolesOfRegion) move {
	var m move
	for _, r := range []engine.Role{mixedRole, prefillRole, decodeRole} {
		switch had, has := count(a, r), count(b, r); {
		case had > has:
			m.from = r
		case had < has:
			m.to = r
		}
	}
	return m
}

func count(roles rolesOfRegion, role engine.Role) int {
	n := 0
	for _, r := range roles {
		if r == role {
			n++
		}
	}
	return n
}

// movesOf returns the schedule that a policy with a planner has carried out.
func movesOf(r *Result) [Regions][]move {
	var moves [Regions][]move
	for _, s := range r.Schedule {
		moves[s.region] = append(moves[s.region], move{at: s.began, from: s.from, to: engine.Role(s.Role)})
	}
	return moves
}

func knownRoles(*Result) [Regions]rolesOfRegion { return allRegions(rolesOfRegion(staticSplit)) }
