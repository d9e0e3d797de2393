package bench

import (
	"time"

	"rhubarbpoint/engine"
	"rhubarbpoint/internal/simclock"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/route"
)

// work is an attempt at an engine, as a whole or one part of it.
type work struct {
	a    *attempt
	part part
}

type part int

const (
	wholeRequest part = iota
	prefillPart
	decodePart
)

// engineModel is one engine.
type engineModel struct {
	sim    *Sim
	index  int
	id     string
	region int
	role   engine.Role
	speed  speed
	epoch  uint64
	cache  *pieceCache

	down     bool
	leaving  bool
	target   *engine.Role // ordered role; the change starts when the engine is empty
	changing bool

	queue    []work // prompts to process
	seats    []work // processed requests that wait for the batch
	batch    []work
	stepping bool

	arrivals []time.Duration
	stepSum  float64
	stepN    int
	lastStep float64
	reports  uint64
}

// submit gives work to the engine. It returns false when the engine refuses it.
func (e *engineModel) submit(w work) bool {
	if e.down || e.leaving || e.changing || e.target != nil {
		return false
	}
	if w.part != prefillPart && e.speed.prefill || w.part == prefillPart && e.role == engine.RoleDecode {
		return false
	}
	e.arrivals = append(e.arrivals, e.sim.Now())
	if w.part == decodePart {
		e.seats = append(e.seats, w)
	} else {
		w.a.started = false
		w.a.uncached = w.a.req.PromptTokens - engine.BlockTokens*e.cache.cached(w.a.req.pieces)
		e.queue = append(e.queue, w)
	}
	e.wake()
	return true
}

func (e *engineModel) empty() bool { return len(e.queue)+len(e.seats)+len(e.batch) == 0 }

func (e *engineModel) wake() {
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

// step starts one step of the engine.
func (e *engineModel) step() {
	e.dropExpired()
	for len(e.seats) > 0 && len(e.batch) < e.speed.batch {
		e.batch = append(e.batch, e.seats[0])
		e.seats = e.seats[1:]
	}
	tokens, done := e.takeChunk()
	if len(e.batch) == 0 && tokens == 0 {
		e.stepping = false
		e.whenEmpty()
		return
	}
	duration := e.speed.step(len(e.batch), tokens)
	if len(e.batch) > 0 {
		e.stepSum += duration
		e.stepN++
	}
	running := len(e.batch)
	e.sim.After(simclock.Seconds(duration), func() { e.endStep(running, done) })
}

// dropExpired ends queued work whose deadline has passed; its caller has gone.
func (e *engineModel) dropExpired() {
	kept := e.queue[:0]
	for _, w := range e.queue {
		if !w.a.started && e.sim.Now() > w.a.arrived+w.a.req.deadline() {
			e.sim.finish(w.a, false)
			continue
		}
		kept = append(kept, w)
	}
	e.queue = kept
}

// takeChunk processes prompt tokens of the queue in order, and returns the work whose prompt will be complete.
func (e *engineModel) takeChunk() (tokens int, done []work) {
	room := e.speed.chunk
	places := e.speed.batch - len(e.batch) - len(e.seats)
	for len(e.queue) > 0 && room > 0 {
		w := e.queue[0]
		if w.part == wholeRequest && places <= 0 {
			break
		}
		if !w.a.started {
			w.a.started = true
			w.a.cached = e.cache.cached(w.a.req.pieces)
			w.a.uncached = w.a.req.PromptTokens - engine.BlockTokens*w.a.cached
			e.sim.countPrefill(w.a)
		}
		take := min(room, w.a.uncached)
		w.a.uncached -= take
		room -= take
		tokens += take
		if w.a.uncached > 0 {
			break
		}
		if w.part == wholeRequest {
			places--
		}
		done = append(done, w)
		e.queue = e.queue[1:]
	}
	return tokens, done
}

func (e *engineModel) endStep(running int, done []work) {
	kept := e.batch[:0]
	for i, w := range e.batch {
		if i < running {
			w.a.token(e.sim.Now())
			if w.a.tokens >= w.a.req.OutputTokens {
				e.sim.finish(w.a, true)
				continue
			}
		}
		kept = append(kept, w)
	}
	e.batch = kept
	for _, w := range done {
		e.cache.store(w.a.req.pieces)
		if w.part == prefillPart {
			e.sim.transfer(w.a)
			continue
		}
		w.a.token(e.sim.Now())
		if w.a.tokens >= w.a.req.OutputTokens {
			e.sim.finish(w.a, true)
			continue
		}
		e.seats = append(e.seats, w)
	}
	e.step()
}

// order asks for a role. Running work finishes first.
func (e *engineModel) order(role engine.Role) {
	e.target = &role
	if !e.stepping {
		e.whenEmpty()
	}
}

// whenEmpty starts what waits for the engine to be empty.
func (e *engineModel) whenEmpty() {
	if !e.empty() {
		return
	}
	if e.leaving {
		e.leaving, e.down = false, true
	}
	if e.target == nil || e.changing || e.down {
		return
	}
	e.changing = true
	e.sim.After(changeTime, func() {
		e.setRole(*e.target)
		e.target, e.changing = nil, false
	})
}

func (e *engineModel) setRole(role engine.Role) {
	e.role = role
	e.speed = speedOf(role)
	if e.cache == nil {
		e.cache = newPieceCache(e.speed.pieces)
		return
	}
	e.cache.reset(e.speed.pieces)
}

func (e *engineModel) leave() {
	e.leaving = true
	if !e.stepping {
		e.whenEmpty()
	}
}

func (e *engineModel) comeBack() {
	e.down, e.leaving, e.changing, e.target = false, false, false, nil
	e.epoch++
	e.cache = newPieceCache(e.speed.pieces)
}

// report is the engine's load record at this time.
func (e *engineModel) report() *peerpb.UpstreamLoad {
	const window = 5 * time.Second
	for len(e.arrivals) > 0 && e.arrivals[0] < e.sim.Now()-window {
		e.arrivals = e.arrivals[1:]
	}
	if e.stepN > 0 {
		e.lastStep = e.stepSum / float64(e.stepN)
		e.stepSum, e.stepN = 0, 0
	}
	waiting := 0
	for _, w := range e.queue {
		waiting += w.a.uncached
	}
	e.reports++
	return &peerpb.UpstreamLoad{
		Upstream: e.id, Seq: e.reports, AtUnixMilli: e.sim.Time().UnixMilli(), EpochHash: e.epoch,
		Role: route.RoleNumber(e.role), Running: uint32(len(e.batch)), Waiting: uint32(len(e.queue) + len(e.seats)),
		WaitingTokens: uint32(waiting), ArrivalsMilli: uint32(1000 * len(e.arrivals) / int(window.Seconds())),
		PrefillTokensPerSecond: uint32(e.speed.rate(len(e.batch))), StepMicros: uint32(1e6 * e.lastStep),
		MaxRunning: uint32(e.speed.batch), Models: []uint32{0}, Draining: e.leaving || e.target != nil,
	}
}
