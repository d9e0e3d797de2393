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

// entry is one entry instance. It decides with the project's code or by the rule of a baseline.
type entry struct {
	sim      *Sim
	index    int
	region   int
	table    *route.EngineTable
	admitter *admit.FairAdmitter
	random   *rand.Rand
	next     int
	loads    map[int]*peerpb.UpstreamLoad // latest load reports by engine, for the baselines
}

func newEntry(sim *Sim, index int) *entry {
	e := &entry{
		sim: sim, index: index, region: index % Regions, admitter: admit.NewFairAdmitter(), loads: make(map[int]*peerpb.UpstreamLoad),
		random: rand.New(rand.NewPCG(sim.seed, uint64(index)+1)),
	}
	name := RegionName(e.region)
	e.table = route.NewEngineTable(route.Options{Region: name, Zone: name, Seed: sim.seed ^ uint64(index)<<20})
	e.table.SetDocument(document())
	return e
}

// maxAttempts bounds the attempts of a request that engines refuse.
const maxAttempts = 3

// handle receives a new request.
func (e *entry) handle(req *Request) {
	r := &inFlightRequest{req: req, entry: e, arrived: e.sim.Now() - callerLatency}
	e.sim.requests++
	r.route = &route.Request{
		ID: strconv.Itoa(e.sim.requests), Model: req.Model, Version: modelVersion, PrefixHashes: req.prefixHashes,
		PromptTokens: req.PromptTokens, Arrived: e.sim.Time(), MaxTokens: req.MaxTokens, Deadline: simclock.At(r.arrived + req.deadline()),
		Deprioritized: map[string]bool{},
	}
	e.route(r, true)
}

// route chooses an engine and sends the request there, or refuses the request. The admitter decides only on the first
// call for a request. If the table holds the request back, route is called again later, which is not counted as another
// attempt.
func (e *entry) route(r *inFlightRequest, first bool) {
	now := e.sim.Time()
	r.attempts++
	if e.sim.policy.routing != routeTable {
		e.send(r, e.chooseBaseline())
		return
	}
	choice, err := e.table.Pick(now, r.route)
	if err != nil {
		e.admitter.RecordTooLate(now, &admit.Request{Workspace: r.req.Workspace, Weight: 1})
		e.sim.recordRefusal(r)
		return
	}
	if choice.HoldFor > 0 {
		e.admitter.RecordHeldBack(now)
	}
	if first {
		r.release, err = e.admitter.Admit(now, &admit.Request{
			Workspace: r.req.Workspace, Weight: 1, Cost: choice.Cost, Deadline: r.route.Deadline,
			EstimatedFinish: now.Add(choice.Finish),
		})
		if err != nil {
			e.sim.recordRefusal(r)
			return
		}
	}
	if choice.HoldFor > 0 {
		r.attempts--
		e.sim.After(choice.HoldFor, func() { e.route(r, false) })
		return
	}
	r.choice = choice
	e.table.Sent(now, choice, r.route)
	if choice.PrefillID != "" {
		e.submit(r, e.sim.byID[choice.PrefillID], prefillPhase)
		return
	}
	e.submit(r, e.sim.byID[choice.EngineID], wholeRequest)
}

// send sends a whole request to the engine that a baseline chose, or refuses it if there is none.
func (e *entry) send(r *inFlightRequest, to *engineModel) {
	if to == nil {
		e.sim.recordRefusal(r)
		return
	}
	r.choice = route.Choice{EngineID: to.id}
	e.submit(r, to, wholeRequest)
}

// submit sends a request or one of its phases to an engine. If the engine refuses it, the entry instance learns so
// after one round trip and makes another attempt.
func (e *entry) submit(r *inFlightRequest, to *engineModel, p phase) {
	r.latency = sameRegionLatency
	if to.region != e.region {
		r.latency = crossRegionLatency
		e.sim.result.InterRegionBytes += int64(bytesPerPromptToken * r.req.PromptTokens)
	}
	e.sim.After(r.latency, func() {
		if to.submit(work{r, p}) {
			return
		}
		e.sim.After(r.latency, func() { e.handleRefusal(r, to) })
	})
}

// handleRefusal makes another attempt, preferably at another engine, or refuses the request after maxAttempts.
func (e *entry) handleRefusal(r *inFlightRequest, by *engineModel) {
	e.sim.result.Retries++
	if e.sim.policy.routing == routeTable {
		e.table.Finished(e.sim.Time(), r.choice, r.route, route.Outcome{Failed: true})
	}
	r.route.Deprioritized[by.id] = true
	if r.attempts >= maxAttempts {
		e.sim.recordRefusal(r)
		return
	}
	e.route(r, false)
}

// chooseBaseline chooses an engine of the region by the baseline's rule, based on load reports that arrive late. It
// returns nil if no engine is available.
func (e *entry) chooseBaseline() *engineModel {
	var list []*engineModel
	for i, m := range e.sim.engines {
		if m.region != e.region || (e.loads[i] != nil && e.loads[i].Draining) || e.sim.knownUnavailable[i] {
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
		if e.reportedLoad(m) < e.reportedLoad(best) {
			best = m
		}
	}
	return best
}

// reportedLoad returns the reported number of requests at an engine, or 0 before the first report.
func (e *entry) reportedLoad(m *engineModel) float64 {
	load := e.loads[m.index]
	if load == nil {
		return 0
	}
	return float64(load.Running) + float64(load.Waiting)
}

// recordFinished passes the result of a request to the table and releases its admission.
func (e *entry) recordFinished(now time.Time, r *inFlightRequest, ok bool) {
	if e.sim.policy.routing != routeTable {
		return
	}
	e.table.Finished(now, r.choice, r.route, route.Outcome{
		FirstToken: r.firstToken - r.arrived, Tokens: r.tokens, Failed: !ok,
	})
	if r.release != nil {
		r.release(now)
	}
}
