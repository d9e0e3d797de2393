package simfleet

import (
	"time"

	"rhubarbpoint/internal/partcache"
	"rhubarbpoint/relay"
	"rhubarbpoint/upstream"
)

// replica is the model of one replica: a batch of running jobs, and a queue of those that wait for a prompt to be processed
// or for a place.
type replica struct {
	sim     *Sim
	service *Service
	zone    int
	// known is how discovery describes the replica.
	known upstream.Replica
	up    bool
	away  bool // while its stage changes
	// usual is by how much the replica is always slow, slow by how much now.
	usual, slow float64

	cache   *partcache.Cache
	queue   []*job // in order of arrival
	running []*job
	// stepping says that a step is going on, fetchEnd when the last transfer of a KV cache ends.
	stepping bool
	fetchEnd time.Duration
	// life tells events of an earlier start apart.
	life int
	// readTokens counts the prompt tokens that were processed.
	readTokens int64
}

func (r *replica) engine() *Engine { return r.service.Engine }

// load is what the replica states in its answers; replicas in stage prefill state none.
func (r *replica) load() *relay.Load {
	if r.known.Stage == upstream.Prefill {
		return nil
	}
	return &relay.Load{Running: len(r.running), Waiting: len(r.queue), Slots: r.service.Slots}
}

// take accepts a job or refuses it.
func (r *replica) take(j *job) {
	switch {
	case !r.up:
		j.ended(broken)
	case r.away, len(r.queue) >= r.service.MaxQueue, j.promptOnly != (r.known.Stage == upstream.Prefill),
		j.source != nil && !j.source.up:
		j.ended(notRun)
	case r.engine() == nil:
		r.queue = append(r.queue, j)
		r.startPlain()
	case j.source != nil:
		r.fetch(j)
	default:
		r.admit(j)
	}
}

// fetch moves the KV cache of a processed prompt here. Transfers run one after another.
func (r *replica) fetch(j *job) {
	took := r.engine().TransferTime * float64(j.request.prompt.Tokens) / 1000
	switch from, to := r.sim.d.Zones[j.source.zone], r.sim.d.Zones[r.zone]; {
	case from.Region != to.Region:
		took *= 10
	case from.Name != to.Name:
		took *= 2
	}
	r.fetchEnd = max(r.fetchEnd, r.sim.Now()) + millis(took)
	life := r.life
	r.sim.After(r.fetchEnd-r.sim.Now(), func() {
		if r.life == life {
			r.cache.Add(j.request.prompt.Segments)
			r.admit(j)
		} else {
			j.ended(broken)
		}
	})
}

func (r *replica) admit(j *job) {
	r.queue = append(r.queue, j)
	if !r.stepping {
		r.stepping = true
		r.step()
	}
}

// step runs one step of the engine: a piece of the prompts that wait, and one step of each running answer.
func (r *replica) step() {
	if r.known.Stage == upstream.Prefill {
		r.stepPrompts()
		return
	}
	r.dropLate()
	e := r.engine()
	room, tokens, pairs := e.ChunkTokens/4, 0, 0.0
	for len(r.queue) > 0 && len(r.running) < r.service.Slots && room > 0 {
		j := r.queue[0]
		r.begin(j)
		take := min(room, j.uncached)
		pairs += j.pairs(take)
		j.uncached, room, tokens = j.uncached-take, room-take, tokens+take
		if j.uncached > 0 {
			break
		}
		r.queue = r.queue[1:]
		r.running = append(r.running, j)
		r.cache.Add(j.request.prompt.Segments)
		j.accepted()
	}
	if len(r.running) == 0 && tokens == 0 {
		r.stepping = false
		return
	}
	r.readTokens += int64(tokens)
	took := e.Step + e.StepPerSlot*float64(len(r.running)) + 2*e.read(tokens, pairs)
	r.later(took, r.endStep)
}

// dropLate ends queued jobs whose callers have gone.
func (r *replica) dropLate() {
	kept := r.queue[:0]
	for _, j := range r.queue {
		if r.sim.Now() > j.deadline {
			j.ended(notRun)
			continue
		}
		kept = append(kept, j)
	}
	r.queue = kept
}

func (r *replica) endStep() {
	e := r.engine()
	kept := r.running[:0]
	for _, j := range r.running {
		if r.sim.Now() > j.deadline {
			j.ended(broken)
			continue
		}
		j.steps++
		if j.steps%e.StepsPerEvent == 0 {
			j.event()
			if j.steps/e.StepsPerEvent >= j.request.events {
				j.ended(done)
				continue
			}
		}
		kept = append(kept, j)
	}
	r.running = kept
	r.step()
}

// begin notes what is to be processed of a prompt whose turn it is.
func (r *replica) begin(j *job) {
	if j.begun || j.source != nil {
		return
	}
	j.begun = true
	parts := j.request.prompt.Segments
	cached := r.cache.CachedTokens(parts)
	j.uncached = max(1, j.request.prompt.Tokens-cached)
	for _, part := range parts[:len(parts)-1] {
		if cached -= part.Tokens; cached < 0 && r.sim.seen[part.ID] {
			r.sim.result.RepeatedPrefillTokens += int64(part.Tokens)
		}
		r.sim.seen[part.ID] = true
	}
}

// stepPrompts processes one piece of the oldest prompt.
func (r *replica) stepPrompts() {
	r.dropLate()
	if len(r.queue) == 0 {
		r.stepping = false
		return
	}
	j := r.queue[0]
	r.begin(j)
	take := min(r.engine().ChunkTokens, j.uncached)
	took := r.engine().read(take, j.pairs(take))
	j.uncached -= take
	r.readTokens += int64(take)
	r.later(took, func() {
		if j.uncached == 0 {
			r.queue = r.queue[1:]
			r.cache.Add(j.request.prompt.Segments)
			j.ended(done)
		}
		r.step()
	})
}

// startPlain starts waiting jobs of a plain service.
func (r *replica) startPlain() {
	for len(r.queue) > 0 && len(r.running) < r.service.Slots {
		j := r.queue[0]
		r.queue = r.queue[1:]
		r.running = append(r.running, j)
		r.later(j.request.work.Seconds()*1000, func() {
			for i := range r.running {
				if r.running[i] == j {
					r.running = append(r.running[:i], r.running[i+1:]...)
					break
				}
			}
			j.accepted()
			j.event()
			j.ended(done)
			r.startPlain()
		})
	}
}

// later runs a function after some milliseconds of work, unless the replica has crashed since.
func (r *replica) later(ms float64, run func()) {
	life := r.life
	r.sim.After(millis(ms*r.slow), func() {
		if r.life == life {
			run()
		}
	})
}

// crash loses all that runs or waits here.
func (r *replica) crash() {
	lost := append(r.running, r.queue...)
	r.running, r.queue, r.up, r.stepping = nil, nil, false, false
	r.life++
	for _, j := range lost {
		j.ended(broken)
	}
}

// start begins a new life with an empty cache.
func (r *replica) start() {
	r.up, r.away = true, false
	r.life++
	if e := r.engine(); e != nil {
		r.cache = partcache.New(e.KVTokens)
	}
}

// setStage changes the stage once the work that is here has ended.
func (r *replica) setStage(stage upstream.Stage) {
	r.away = true
	var wait func()
	wait = func() {
		const look = 10.0 // ms
		if len(r.running)+len(r.queue) > 0 {
			r.later(look, wait)
			return
		}
		r.later(r.engine().StageChangeTime, func() { r.away, r.known.Stage = false, stage })
	}
	wait()
}
