package bench

import (
	"math/rand/v2"
	"time"

	"rhubarbpoint/engine"
	"rhubarbpoint/internal/simclock"
	"rhubarbpoint/peer/peerpb"
)

// timeSlot is the time resolution of the hindsight optimum and of the plots.
const timeSlot = 10 * time.Second

// Sim is a replay of a trace under a policy. It is not safe for concurrent use.
type Sim struct {
	simclock.Clock
	seed             uint64
	trace            *Trace
	policy           Policy
	random           *rand.Rand
	engines          []*engineModel
	byID             map[string]*engineModel
	entries          []*entry
	knownUnavailable map[int]bool // engines that instances know to be withdrawn or absent, for the baselines
	seenBlocks       map[uint64]bool
	result           *Result
	// requests is the number of requests so far, which gives each one its ID.
	requests int
}

// Run replays a trace under a policy. The same arguments give the same result.
func Run(trace *Trace, policy Policy, seed uint64, entriesPerRegion int) *Result {
	s := &Sim{
		seed: seed, trace: trace, policy: policy, random: rand.New(rand.NewPCG(seed, 7)),
		byID: make(map[string]*engineModel), knownUnavailable: make(map[int]bool), seenBlocks: make(map[uint64]bool),
		result: &Result{
			Policy: policy.Name, Trace: trace.Name, Requests: trace.countedRequests(),
			GoodByWorkload: make(map[string]int), GoodByWorkspace: make(map[string]int),
		},
	}
	slots := int(trace.Length/timeSlot) + 1
	for range Regions {
		s.result.GoodBySlot = append(s.result.GoodBySlot, make([]int, slots))
	}
	s.build(entriesPerRegion)
	s.schedule()
	s.AdvanceTo(trace.Length + time.Minute)
	result := s.result
	result.Goodput = float64(result.Good) / (trace.Length - trace.warmup()).Seconds()
	result.Late = result.Requests - result.Good - result.Refused
	return result
}

// build creates the engines and the entry instances.
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

// schedule schedules the arrivals, the reports, the faults and the planners.
func (s *Sim) schedule() {
	regions := make(map[string]int, Regions)
	for i := range Regions {
		regions[RegionName(i)] = i
	}
	perRegion := len(s.entries) / Regions
	for i := range s.trace.Requests {
		req := &s.trace.Requests[i]
		e := s.entries[regions[req.Region]+Regions*s.random.IntN(perRegion)]
		s.After(req.arrival()+callerLatency, func() { e.handle(req) })
	}
	for i, e := range s.engines {
		if e.down {
			s.knownUnavailable[i] = true
			for _, en := range s.entries {
				en.table.SetLeaving(e.id, e.epoch)
			}
		} else {
			s.sendLoadReport(e)
		}
		s.After(time.Duration(i+1)*time.Second/time.Duration(len(s.engines)+1), func() { s.publish(e) })
	}
	s.After(time.Second, s.sendSummaries)
	for _, w := range s.trace.Faults.Withdrawn {
		s.withdraw(w)
	}
	if s.policy.planner != nil {
		for region := range Regions {
			h := newLeaseHolder(s, region, s.policy.planner(region))
			s.After(time.Second, h.tick)
		}
	}
	s.After(time.Second, s.updateCapacity)
}

// publish sends the load report and the cache events of an engine, and repeats that each second.
func (s *Sim) publish(e *engineModel) {
	if !e.down {
		s.sendLoadReport(e)
		s.sendCacheEvents(e)
	}
	s.After(time.Second, func() { s.publish(e) })
}

// sendLoadReport delivers a load report to the instances of the region after ReportLag, or at once at the start.
func (s *Sim) sendLoadReport(e *engineModel) {
	load := e.loadReport()
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

// sendCacheEvents delivers the cache events of an engine to the instances of the region after EventLag. Some are lost;
// for each lost event the batch is marked as incomplete with a probability of one half.
func (s *Sim) sendCacheEvents(e *engineModel) {
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

// sendSummaries delivers a summary of each region to the instances of the other regions, and repeats that regularly.
func (s *Sim) sendSummaries() {
	const summaryInterval, summaryLag = 2 * time.Second, 500 * time.Millisecond
	for region := range Regions {
		c := &peerpb.ModelCapacity{}
		for _, e := range s.engines {
			if e.region != region || e.down || e.leaving || e.orderedRole != nil {
				continue
			}
			load := e.loadReport()
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
	s.After(summaryInterval, s.sendSummaries)
}

// updateCapacity sets each instance's share of the available engines as its admission capacity, each second, as the
// daemon does.
func (s *Sim) updateCapacity() {
	instances := float64(len(s.entries) / Regions)
	for _, en := range s.entries {
		en.admitter.SetCapacity(s.Time(), float64(en.table.Available(s.Time()))/instances)
	}
	s.After(time.Second, s.updateCapacity)
}

// withdraw schedules the withdrawal of an engine and its return. The instances learn of the withdrawal a second later.
func (s *Sim) withdraw(w Withdrawal) {
	e := s.engines[w.Engine]
	s.After(w.From, func() {
		epoch := e.epoch
		e.leave()
		s.After(time.Second, func() {
			s.knownUnavailable[w.Engine] = true
			for _, en := range s.entries {
				en.table.SetLeaving(e.id, epoch)
			}
		})
	})
	s.After(w.To, func() {
		e.restart()
		s.knownUnavailable[w.Engine] = false
	})
}

// transfer transfers the KV cache of a processed prompt to the decode engine and starts the decode phase there.
func (s *Sim) transfer(r *inFlightRequest) {
	to := s.byID[r.choice.EngineID]
	took := float64(r.req.PromptTokens) * kvBytesPerToken / kvTransferRate
	s.After(simclock.Seconds(took)+sameRegionLatency, func() {
		if !to.submit(work{r, decodePhase}) {
			r.entry.handleRefusal(r, to)
		}
	})
}

// countPrefill adds the uncached tokens of a prompt that an engine starts to process to the result, and the error of
// routing's estimate.
func (s *Sim) countPrefill(r *inFlightRequest) {
	s.result.PrefillTokens += int64(r.uncachedTokens)
	if d := r.uncachedTokens - r.choice.UncachedTokens; r.choice.UncachedTokens > 0 && d > 0 {
		s.result.UnderestimatedTokens += int64(d)
	} else if r.choice.UncachedTokens > 0 {
		s.result.OverestimatedTokens -= int64(d)
	}
	for i, block := range r.req.prefixHashes {
		if i >= r.cachedBlocks && s.seenBlocks[block] {
			s.result.RepeatedPrefillTokens += engine.BlockTokens
		}
		s.seenBlocks[block] = true
	}
}

// recordEnd records that a request has ended at its engine. ok is false if it expired in the queue.
func (s *Sim) recordEnd(r *inFlightRequest, ok bool) {
	s.After(r.latency, func() { r.entry.recordFinished(s.Time(), r, ok) })
	if !s.afterWarmup(r) {
		return
	}
	if !ok {
		s.result.Expired++
		return
	}
	if !r.good() {
		if 20*r.longGaps > r.gaps {
			s.result.LateGaps++
		} else {
			s.result.LateFirst++
		}
		return
	}
	result := s.result
	result.Good++
	result.GoodByWorkload[r.req.Workload]++
	result.GoodByWorkspace[r.req.Workspace]++
	if n := int(r.arrived / timeSlot); n >= 0 && n < len(result.GoodBySlot[r.entry.region]) {
		result.GoodBySlot[r.entry.region][n]++
	}
}

// recordRefusal counts a refused request.
func (s *Sim) recordRefusal(r *inFlightRequest) {
	if s.afterWarmup(r) {
		s.result.Refused++
	}
}

// afterWarmup reports whether a request arrived after the warm-up, so that it counts.
func (s *Sim) afterWarmup(r *inFlightRequest) bool { return r.req.arrival() >= s.trace.warmup() }
