package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"rhubarbpoint/admit"
	"rhubarbpoint/internal/simclock"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/route"
)

// entry is one entry instance: the project's decisions, or those of a baseline.
type entry struct {
	sim    *Sim
	index  int
	region int
	table  *route.EngineTable
	fair   *admit.FairAdmitter
	random *rand.Rand
	next   int
	loads  map[int]*peerpb.UpstreamLoad // for the baselines
}

func newEntry(sim *Sim, index int) *entry {
	e := &entry{
		sim: sim, index: index, region: index % Regions, fair: admit.NewFairAdmitter(), loads: make(map[int]*peerpb.UpstreamLoad),
		random: rand.New(rand.NewPCG(sim.seed, uint64(index)+1)),
	}
	name := RegionName(e.region)
	e.table = route.NewEngineTable(route.Options{Region: name, Zone: name, Seed: sim.seed ^ uint64(index)<<20})
	e.table.SetDocument(document())
	return e
}

// maxTries bounds the attempts of a request that engines refuse.
const maxTries = 3

// handle decides on a new request.
func (e *entry) handle(req *Request) {
	a := &attempt{req: req, entry: e, arrived: e.sim.Now() - callerLatency}
	e.sim.requests++
	a.route = &route.Request{
		ID: strconv.Itoa(e.sim.requests), Model: req.Model, Version: modelVersion, PrefixHashes: req.pieces,
		PromptTokens: req.PromptTokens, Arrived: e.sim.Time(), MaxTokens: req.MaxTokens, Deadline: simclock.At(a.arrived + req.deadline()),
		Deprioritized: map[string]bool{},
	}
	e.try(a, true)
}

// try sends an attempt to an engine. The first try passes admission.
func (e *entry) try(a *attempt, first bool) {
	now := e.sim.Time()
	a.tries++
	if e.sim.policy.routing != routeTable {
		e.send(a, e.baseline())
		return
	}
	choice, err := e.table.Pick(now, a.route)
	if err != nil {
		e.fair.RecordTooLate(now, &admit.Request{Workspace: a.req.Workspace, Weight: 1})
		e.sim.refuse(a)
		return
	}
	if choice.HoldFor > 0 {
		e.fair.RecordHeldBack(now)
	}
	if first {
		a.release, err = e.fair.Admit(now, &admit.Request{
			Workspace: a.req.Workspace, Weight: 1, Cost: choice.Cost, Deadline: a.route.Deadline,
			EstimatedFinish: now.Add(choice.Finish),
		})
		if err != nil {
			e.sim.refuse(a)
			return
		}
	}
	if choice.HoldFor > 0 {
		a.tries--
		e.sim.After(choice.HoldFor, func() { e.try(a, false) })
		return
	}
	a.choice = choice
	e.table.Sent(now, choice, a.route)
	if choice.PrefillID != "" {
		e.submit(a, e.sim.byID[choice.PrefillID], prefillPart)
		return
	}
	e.submit(a, e.sim.byID[choice.EngineID], wholeRequest)
}

func (e *entry) send(a *attempt, to *engineModel) {
	if to == nil {
		e.sim.refuse(a)
		return
	}
	a.choice = route.Choice{EngineID: to.id}
	e.submit(a, to, wholeRequest)
}

// submit carries work to an engine. A refusal comes back after the way there and back and leads to another try.
func (e *entry) submit(a *attempt, to *engineModel, p part) {
	a.latency = localLatency
	if to.region != e.region {
		a.latency = regionLatency
		e.sim.result.InterRegionBytes += int64(bytesPerPrompt * a.req.PromptTokens)
	}
	e.sim.After(a.latency, func() {
		if to.submit(work{a, p}) {
			return
		}
		e.sim.After(a.latency, func() { e.refused(a, to) })
	})
}

// refused tries another engine.
func (e *entry) refused(a *attempt, by *engineModel) {
	e.sim.result.Retries++
	if e.sim.policy.routing == routeTable {
		e.table.Finished(e.sim.Time(), a.choice, a.route, route.Outcome{Failed: true})
	}
	a.route.Deprioritized[by.id] = true
	if a.tries >= maxTries {
		e.sim.refuse(a)
		return
	}
	e.try(a, false)
}

// baseline chooses an engine of the region by the baseline's rule, from late reports.
func (e *entry) baseline() *engineModel {
	var list []*engineModel
	for i, m := range e.sim.engines {
		if m.region != e.region || (e.loads[i] != nil && e.loads[i].Draining) || e.sim.gone[i] {
			continue
		}
		list = append(list, m)
	}
	if len(list) == 0 {
		return nil
	}
	switch e.sim.policy.routing {
	case routeRandom:
		return list[e.random.IntN(len(list))]
	case routeRoundRobin:
		e.next++
		return list[e.next%len(list)]
	}
	best := list[0]
	for _, m := range list[1:] {
		if e.reported(m) < e.reported(best) {
			best = m
		}
	}
	return best
}

func (e *entry) reported(m *engineModel) float64 {
	load := e.loads[m.index]
	if load == nil {
		return 0
	}
	return float64(load.Running) + float64(load.Waiting)
}

func (e *entry) finished(now time.Time, a *attempt, ok bool) {
	if e.sim.policy.routing != routeTable {
		return
	}
	e.table.Finished(now, a.choice, a.route, route.Outcome{
		FirstToken: a.first - a.arrived, Tokens: a.tokens, Failed: !ok,
	})
	if a.release != nil {
		a.release(now)
	}
}
