package bench

import (
	"math/rand/v2"
	"time"

	"rhubarbpoint/engine"
	"rhubarbpoint/internal/simclock"
	"rhubarbpoint/peer/peerpb"
)

// slot is the resolution of the hindsight optimum.
const slot = 10 * time.Second

// Sim is one replay of a trace under a policy.
type Sim struct {
	simclock.Clock
	seed    uint64
	trace   *Trace
	policy  Policy
	random  *rand.Rand
	engines []*engineModel
	byID    map[string]*engineModel
	entries []*entry
	gone    map[int]bool // engines that instances know to be away, for the baselines
	seen    map[uint64]bool
	result  *Result
	// requests numbers the requests.
	requests int
}

// Run replays a trace. The same arguments give the same result.
func Run(trace *Trace, policy Policy, seed uint64, entriesPerRegion int) *Result {
	s := &Sim{
		seed: seed, trace: trace, policy: policy, random: rand.New(rand.NewPCG(seed, 7)),
		byID: make(map[string]*engineModel), gone: make(map[int]bool), seen: make(map[uint64]bool),
		result: &Result{
			Policy: policy.Name, Trace: trace.Name, Requests: trace.counted(),
			GoodByWorkload: make(map[string]int), GoodByWorkspace: make(map[string]int),
		},
	}
	slots := int(trace.Length/slot) + 1
	for range Regions {
		s.result.GoodBySlot = append(s.result.GoodBySlot, make([]int, slots))
	}
	s.build(entriesPerRegion)
	s.schedule()
	s.AdvanceTo(trace.Length + time.Minute)
	r := s.result
	r.Goodput = float64(r.Good) / (trace.Length - trace.warmup()).Seconds()
	r.Late = r.Requests - r.Good - r.Refused
	return r
}

func (s *Sim) build(entriesPerRegion int) {
	for i := range Regions * EnginesPerRegion {
		e := &engineModel{sim: s, index: i, id: engineName(i), region: i / EnginesPerRegion, epoch: 1}
		role := s.policy.roles[i%EnginesPerRegion]
		if s.policy.regionRoles != nil {
			role = s.policy.regionRoles[e.region][i%EnginesPerRegion]
		}
		e.setRole(role)
		e.down = role == ""
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
	}
	for i := range Regions * entriesPerRegion {
		s.entries = append(s.entries, newEntry(s, i))
	}
}

// schedule queues the arrivals, the reports, the faults and the planners.
func (s *Sim) schedule() {
	regions := make(map[string]int, Regions)
	for i := range Regions {
		regions[RegionName(i)] = i
	}
	perRegion := len(s.entries) / Regions
	for i := range s.trace.Requests {
		req := &s.trace.Requests[i]
		e := s.entries[regions[req.Region]+Regions*s.random.IntN(perRegion)]
		s.After(req.at()+callerLatency, func() { e.handle(req) })
	}
	for i, e := range s.engines {
		if e.down {
			s.gone[i] = true
			for _, en := range s.entries {
				en.table.SetLeaving(e.id, e.epoch)
			}
		} else {
			s.report(e)
		}
		s.After(time.Duration(i+1)*time.Second/time.Duration(len(s.engines)+1), func() { s.poll(e) })
	}
	s.After(time.Second, s.summarise)
	for _, w := range s.trace.Faults.Withdrawn {
		s.withdraw(w)
	}
	if s.policy.planner != nil {
		for region := range Regions {
			h := newHolder(s, region, s.policy.planner(region))
			s.After(time.Second, h.tick)
		}
	}
	s.After(time.Second, s.capacity)
}

// poll publishes the load and the cache events of an engine each second.
func (s *Sim) poll(e *engineModel) {
	if !e.down {
		s.report(e)
		s.cacheEvents(e)
	}
	s.After(time.Second, func() { s.poll(e) })
}

// report delivers a load report late to the instances of the region.
func (s *Sim) report(e *engineModel) {
	load := e.report()
	lag := s.trace.Faults.ReportLag
	if s.Now() == 0 {
		lag = 0
	}
	s.After(lag, func() {
		for _, en := range s.entries {
			if en.region == e.region {
				en.table.UpdateLoad(s.Time(), load)
				en.loads[e.index] = load
			}
		}
	})
}

// cacheEvents delivers the events late. Half of the lost ones leave a gap that the receiver is told of.
func (s *Sim) cacheEvents(e *engineModel) {
	pending := e.cache.pending
	e.cache.pending = nil
	if len(pending) == 0 {
		return
	}
	batch := &engine.CacheEvents{Epoch: e.id + string(rune('0'+e.epoch)), Last: e.cache.seq}
	for _, ev := range pending {
		if s.random.Float64() < s.trace.Faults.EventLoss {
			batch.Lost = batch.Lost || s.random.IntN(2) == 0
			continue
		}
		batch.Events = append(batch.Events, ev)
	}
	s.After(s.trace.Faults.EventLag, func() {
		for _, en := range s.entries {
			if en.region == e.region {
				en.table.UpdateCache(e.id, batch)
			}
		}
	})
}

// summarise publishes each region's summary to the other regions.
func (s *Sim) summarise() {
	const summaryInterval, summaryLag = 2 * time.Second, 500 * time.Millisecond
	for region := range Regions {
		c := &peerpb.ModelCapacity{}
		for _, e := range s.engines {
			if e.region != region || e.down || e.leaving || e.target != nil {
				continue
			}
			load := e.report()
			c.Engines++
			c.WaitingTokens += load.WaitingTokens
			c.Running += load.Running
			c.MaxRunning += load.MaxRunning
			c.PrefillTokensPerSecond += load.PrefillTokensPerSecond
		}
		name := RegionName(region)
		summary := &peerpb.ZoneSummary{
			Region: name, Zone: name, Seq: uint64(s.Now()), Models: []*peerpb.ModelCapacity{c},
		}
		s.After(s.trace.Faults.ReportLag+summaryLag, func() {
			for _, en := range s.entries {
				if en.region != region {
					en.table.UpdateZone(s.Time(), summary)
				}
			}
		})
	}
	s.After(summaryInterval, s.summarise)
}

// capacity tells the admitters how many engines they share, as the daemon does.
func (s *Sim) capacity() {
	instances := float64(len(s.entries) / Regions)
	for _, en := range s.entries {
		en.fair.SetCapacity(s.Time(), float64(en.table.Available(s.Time()))/instances)
	}
	s.After(time.Second, s.capacity)
}

// withdraw takes an engine away. The instances learn of it a second later.
func (s *Sim) withdraw(w Withdrawal) {
	e := s.engines[w.Engine]
	s.After(w.From, func() {
		epoch := e.epoch
		e.leave()
		s.After(time.Second, func() {
			s.gone[w.Engine] = true
			for _, en := range s.entries {
				en.table.SetLeaving(e.id, epoch)
			}
		})
	})
	s.After(w.To, func() {
		e.comeBack()
		s.gone[w.Engine] = false
	})
}

// transfer moves the KV cache of a processed prompt to the engine that goes on with it.
func (s *Sim) transfer(a *attempt) {
	to := s.byID[a.choice.EngineID]
	took := float64(a.req.PromptTokens) * kvBytes / localKVRate
	s.After(simclock.Seconds(took)+localLatency, func() {
		if !to.submit(work{a, decodePart}) {
			a.entry.refused(a, to)
		}
	})
}

// countPrefill counts the tokens of a prompt that an engine starts to process.
func (s *Sim) countPrefill(a *attempt) {
	s.result.PrefillTokens += int64(a.uncached)
	if d := a.uncached - a.choice.UncachedTokens; a.choice.UncachedTokens > 0 && d > 0 {
		s.result.UnderestimatedTokens += int64(d)
	} else if a.choice.UncachedTokens > 0 {
		s.result.OverestimatedTokens -= int64(d)
	}
	for i, piece := range a.req.pieces {
		if i >= a.cached && s.seen[piece] {
			s.result.RepeatedPrefillTokens += engine.BlockTokens
		}
		s.seen[piece] = true
	}
}

// finish ends an attempt at its engine; ok is false when it expired there.
func (s *Sim) finish(a *attempt, ok bool) {
	s.After(a.latency, func() { a.entry.finished(s.Time(), a, ok) })
	if !s.counts(a) {
		return
	}
	if !ok {
		s.result.Expired++
		return
	}
	if !a.good() {
		if 20*a.long > a.gaps {
			s.result.LateGaps++
		} else {
			s.result.LateFirst++
		}
		return
	}
	r := s.result
	r.Good++
	r.GoodByWorkload[a.req.Workload]++
	r.GoodByWorkspace[a.req.Workspace]++
	if n := int(a.arrived / slot); n >= 0 && n < len(r.GoodBySlot[a.entry.region]) {
		r.GoodBySlot[a.entry.region][n]++
	}
}

func (s *Sim) refuse(a *attempt) {
	if s.counts(a) {
		s.result.Refused++
	}
}

// counts says whether a request came after the warm-up.
func (s *Sim) counts(a *attempt) bool { return a.req.at() >= s.trace.warmup() }
