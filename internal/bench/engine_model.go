package bench

import (
	"time"

	"rhubarbpoint/engine"
	"rhubarbpoint/internal/simclock"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/route"
)

// work is a request at an engine: the whole request, or only its prefill or decode phase.
type work struct {
	request *inFlightRequest
	phase   phase
}

type phase int

const (
	wholeRequest phase = iota
	prefillPhase
	decodePhase
)

// engineModel simulates one engine.
type engineModel struct {
	sim    *Sim
	index  int
	id     string
	region int
	role   engine.Role
	params engineParams
	epoch  uint64
	cache  *blockCache

	down         bool
	leaving      bool
	orderedRole  *engine.Role // nil if no change is ordered; the change starts when the engine is empty
	changingRole bool

	prefillQueue []work // requests whose prompts are to be processed
	decodeQueue  []work // requests with processed prompts that wait for a batch slot
	batch        []work
	stepping     bool

	arrivals    []time.Duration
	stepSeconds float64 // sum over the steps since the last load report
	stepCount   int
	meanStep    float64
	reportSeq   uint64
}

// submit adds work to the engine's queues. It returns false if the engine refuses the work.
func (e *engineModel) submit(w work) bool {
	if e.down || e.leaving || e.changingRole || e.orderedRole != nil {
		return false
	}
	if w.phase != prefillPhase && e.params.prefillOnly || w.phase == prefillPhase && e.role == engine.RoleDecode {
		return false
	}
	e.arrivals = append(e.arrivals, e.sim.Now())
	if w.phase == decodePhase {
		e.decodeQueue = append(e.decodeQueue, w)
	} else {
		w.request.prefillStarted = false
		w.request.uncachedTokens = w.request.req.PromptTokens - engine.BlockTokens*e.cache.cached(w.request.req.prefixHashes)
		e.prefillQueue = append(e.prefillQueue, w)
	}
	e.startStepping()
	return true
}

func (e *engineModel) empty() bool { return len(e.prefillQueue)+len(e.decodeQueue)+len(e.batch) == 0 }

// startStepping starts a step if none is in progress.
func (e *engineModel) startStepping() {
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

// step starts one step of the engine.
func (e *engineModel) step() {
	e.dropExpired()
	for len(e.decodeQueue) > 0 && len(e.batch) < e.params.maxBatch {
		e.batch = append(e.batch, e.decodeQueue[0])
		e.decodeQueue = e.decodeQueue[1:]
	}
	tokens, done := e.takeChunk()
	if len(e.batch) == 0 && tokens == 0 {
		e.stepping = false
		e.onEmpty()
		return
	}
	duration := e.params.stepSeconds(len(e.batch), tokens)
	if len(e.batch) > 0 {
		e.stepSeconds += duration
		e.stepCount++
	}
	running := len(e.batch)
	e.sim.After(simclock.Seconds(duration), func() { e.endStep(running, done) })
}

// dropExpired drops queued requests that are past their deadline and whose prefill has not started. Their callers have
// disconnected.
func (e *engineModel) dropExpired() {
	kept := e.prefillQueue[:0]
	for _, w := range e.prefillQueue {
		if !w.request.prefillStarted && e.sim.Now() > w.request.arrived+w.request.req.deadline() {
			e.sim.recordEnd(w.request, false)
			continue
		}
		kept = append(kept, w)
	}
	e.prefillQueue = kept
}

// takeChunk takes the prompt tokens of the next step from the queue, in order. It returns their number and the work
// whose prompt the step completes.
func (e *engineModel) takeChunk() (tokens int, done []work) {
	budget := e.params.chunkTokens
	freeSlots := e.params.maxBatch - len(e.batch) - len(e.decodeQueue)
	for len(e.prefillQueue) > 0 && budget > 0 {
		w := e.prefillQueue[0]
		if w.phase == wholeRequest && freeSlots <= 0 {
			break
		}
		if !w.request.prefillStarted {
			w.request.prefillStarted = true
			w.request.cachedBlocks = e.cache.cached(w.request.req.prefixHashes)
			w.request.uncachedTokens = w.request.req.PromptTokens - engine.BlockTokens*w.request.cachedBlocks
			e.sim.countPrefill(w.request)
		}
		chunk := min(budget, w.request.uncachedTokens)
		w.request.uncachedTokens -= chunk
		budget -= chunk
		tokens += chunk
		if w.request.uncachedTokens > 0 {
			break
		}
		if w.phase == wholeRequest {
			freeSlots--
		}
		done = append(done, w)
		e.prefillQueue = e.prefillQueue[1:]
	}
	return tokens, done
}

// endStep records one token for each request that was in the batch during the step, and passes on the requests whose
// prompts the step has completed.
func (e *engineModel) endStep(running int, done []work) {
	kept := e.batch[:0]
	for i, w := range e.batch {
		if i < running {
			w.request.recordToken(e.sim.Now())
			if w.request.tokens >= w.request.req.OutputTokens {
				e.sim.recordEnd(w.request, true)
				continue
			}
		}
		kept = append(kept, w)
	}
	e.batch = kept
	for _, w := range done {
		e.cache.store(w.request.req.prefixHashes)
		if w.phase == prefillPhase {
			e.sim.transfer(w.request)
			continue
		}
		w.request.recordToken(e.sim.Now())
		if w.request.tokens >= w.request.req.OutputTokens {
			e.sim.recordEnd(w.request, true)
			continue
		}
		e.decodeQueue = append(e.decodeQueue, w)
	}
	e.step()
}

// orderRole orders a change of role. Work at the engine finishes first.
func (e *engineModel) orderRole(role engine.Role) {
	e.orderedRole = &role
	if !e.stepping {
		e.onEmpty()
	}
}

// onEmpty ends a withdrawal's drain, or starts an ordered change of role, once the engine is empty.
func (e *engineModel) onEmpty() {
	if !e.empty() {
		return
	}
	if e.leaving {
		e.leaving, e.down = false, true
	}
	if e.orderedRole == nil || e.changingRole || e.down {
		return
	}
	e.changingRole = true
	e.sim.After(roleChangeTime, func() {
		e.setRole(*e.orderedRole)
		e.orderedRole, e.changingRole = nil, false
	})
}

// setRole gives the engine another role, with an empty cache.
func (e *engineModel) setRole(role engine.Role) {
	e.role = role
	e.params = paramsFor(role)
	if e.cache == nil {
		e.cache = newBlockCache(e.params.cacheBlocks)
		return
	}
	e.cache.reset(e.params.cacheBlocks)
}

// leave drains the engine and stops it.
func (e *engineModel) leave() {
	e.leaving = true
	if !e.stepping {
		e.onEmpty()
	}
}

// restart starts a new incarnation of the engine with an empty cache.
func (e *engineModel) restart() {
	e.down, e.leaving, e.changingRole, e.orderedRole = false, false, false, nil
	e.epoch++
	e.cache = newBlockCache(e.params.cacheBlocks)
}

// loadReport returns the engine's current load report. It starts a new averaging period for the step time.
func (e *engineModel) loadReport() *peerpb.UpstreamLoad {
	const window = 5 * time.Second
	for len(e.arrivals) > 0 && e.arrivals[0] < e.sim.Now()-window {
		e.arrivals = e.arrivals[1:]
	}
	if e.stepCount > 0 {
		e.meanStep = e.stepSeconds / float64(e.stepCount)
		e.stepSeconds, e.stepCount = 0, 0
	}
	waiting := 0
	for _, w := range e.prefillQueue {
		waiting += w.request.uncachedTokens
	}
	e.reportSeq++
	return &peerpb.UpstreamLoad{
		Upstream: e.id, Seq: e.reportSeq, AtUnixMilli: e.sim.Time().UnixMilli(), EpochHash: e.epoch,
		Role: route.RoleNumber(e.role), Running: uint32(len(e.batch)), Waiting: uint32(len(e.prefillQueue) + len(e.decodeQueue)),
		WaitingTokens: uint32(waiting), ArrivalsMilli: uint32(1000 * len(e.arrivals) / int(window.Seconds())),
		PrefillTokensPerSecond: uint32(e.params.prefillSpeed(len(e.batch))), StepMicros: uint32(1e6 * e.meanStep),
		MaxRunning: uint32(e.params.maxBatch), Models: []uint32{0}, Draining: e.leaving || e.orderedRole != nil,
	}
}
