package simfleet

import (
	"time"

	"rhubarbpoint/internal/segmentcache"
	"rhubarbpoint/relay"
	"rhubarbpoint/upstream"
)

// replica simulates one replica: a batch of running jobs, and a queue of jobs that wait for their prefill or for a
// batch slot.
type replica struct {
	sim     *Sim
	service *Service
	zone    int
	// info is the description of the replica that discovery publishes.
	info          upstream.Replica
	up            bool
	changingStage bool // refuses jobs meanwhile
	// baseSlowness is the replica's factor of processing times without faults, slowness the current one.
	baseSlowness, slowness float64
	// slowdownSeed determines the slow periods of the replica.
	slowdownSeed uint64

	cache   *segmentcache.Cache
	queue   []*job // in order of arrival
	running []*job
	// stepping says that a step is in progress. transferEnd is when the last scheduled transfer of a KV cache ends.
	stepping    bool
	transferEnd time.Duration
	// incarnation changes with each crash and start, so that events scheduled before it are ignored.
	incarnation int
	// prefillTokens counts the prompt tokens that the replica has processed.
	prefillTokens int64
}

func (r *replica) engine() *Engine { return r.service.Engine }

// load returns the load report of the replica's responses, or nil in stage prefill, where responses have none unless the
// deployment says otherwise.
func (r *replica) load() *relay.Load {
	slowdown := r.service.Slowdown
	if r.info.Stage == upstream.Prefill && (slowdown == nil || !slowdown.PrefillReports) {
		return nil
	}
	load := &relay.Load{Running: len(r.running), Waiting: len(r.queue), Slots: r.service.Slots}
	if slowdown != nil && !r.sim.policy.HideSlowdown {
		load.Slowdown, _ = r.momentary(r.sim.Now())
	}
	return load
}

// submit accepts or refuses a job. If the replica is down, the connection breaks.
func (r *replica) submit(j *job) {
	switch {
	case !r.up:
		j.ended(jobBroken)
	case r.changingStage, len(r.queue) >= r.service.MaxQueue, j.prefillOnly != (r.info.Stage == upstream.Prefill),
		j.cacheSource != nil && !j.cacheSource.up:
		j.ended(jobNotRun)
	case r.engine() == nil:
		r.queue = append(r.queue, j)
		r.startPlainJobs()
	case j.cacheSource != nil:
		r.fetchCache(j)
	default:
		r.enqueue(j)
	}
}

// fetchCache transfers the KV cache of a job's prompt from its source and then queues the job. Transfers to a replica
// run one after another. They take twice as long between zones and ten times as long between regions.
func (r *replica) fetchCache(j *job) {
	took := r.engine().TransferTime * float64(j.request.prompt.Tokens) / 1000
	switch from, to := r.sim.d.Zones[j.cacheSource.zone], r.sim.d.Zones[r.zone]; {
	case from.Region != to.Region:
		took *= 10
	case from.Name != to.Name:
		took *= 2
	}
	r.transferEnd = max(r.transferEnd, r.sim.Now()) + millis(took)
	incarnation := r.incarnation
	r.sim.After(r.transferEnd-r.sim.Now(), func() {
		if r.incarnation == incarnation {
			r.cache.Add(j.request.prompt.Segments)
			r.enqueue(j)
		} else {
			j.ended(jobBroken)
		}
	})
}

// enqueue queues a job and starts a step if none is in progress.
func (r *replica) enqueue(j *job) {
	r.queue = append(r.queue, j)
	if !r.stepping {
		r.stepping = true
		r.step()
	}
}

// step runs one step of the engine: a chunk of the waiting prompts, and one decode step of each running job.
func (r *replica) step() {
	if r.info.Stage == upstream.Prefill {
		r.stepPrefill()
		return
	}
	r.dropExpired()
	e := r.engine()
	budget, tokens, pairs := e.ChunkTokens/4, 0, 0.0
	for len(r.queue) > 0 && len(r.running) < r.service.Slots && budget > 0 {
		j := r.queue[0]
		r.startPrefill(j)
		chunk := min(budget, j.uncachedTokens)
		pairs += j.tokenPairs(chunk)
		j.uncachedTokens, budget, tokens = j.uncachedTokens-chunk, budget-chunk, tokens+chunk
		if j.uncachedTokens > 0 {
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
	r.prefillTokens += int64(tokens)
	took := e.Step + e.StepPerSlot*float64(len(r.running)) + 2*e.prefillTime(tokens, pairs)
	r.after(took, r.endStep)
}

// dropExpired drops queued jobs that are past their deadline.
func (r *replica) dropExpired() {
	kept := r.queue[:0]
	for _, j := range r.queue {
		if r.sim.Now() > j.deadline {
			j.ended(jobNotRun)
			continue
		}
		kept = append(kept, j)
	}
	r.queue = kept
}

// endStep records one decode step of each running job, ends the jobs that are complete or past their deadline, and
// starts the next step.
func (r *replica) endStep() {
	e := r.engine()
	kept := r.running[:0]
	for _, j := range r.running {
		if r.sim.Now() > j.deadline {
			j.ended(jobBroken)
			continue
		}
		j.steps++
		if j.steps%e.StepsPerEvent == 0 {
			j.event()
			if j.steps/e.StepsPerEvent >= j.request.events {
				j.ended(jobDone)
				continue
			}
		}
		kept = append(kept, j)
	}
	r.running = kept
	r.step()
}

// startPrefill determines how much of a job's prompt has to be processed, once, before its first chunk.
func (r *replica) startPrefill(j *job) {
	if j.prefillStarted || j.cacheSource != nil {
		return
	}
	j.prefillStarted = true
	segments := j.request.prompt.Segments
	cached := r.cache.CachedTokens(segments)
	j.uncachedTokens = max(1, j.request.prompt.Tokens-cached)
	for _, segment := range segments[:len(segments)-1] {
		if cached -= segment.Tokens; cached < 0 && r.sim.seenSegments[segment.ID] {
			r.sim.result.RepeatedPrefillTokens += int64(segment.Tokens)
		}
		r.sim.seenSegments[segment.ID] = true
	}
}

// stepPrefill processes one chunk of the oldest prompt.
func (r *replica) stepPrefill() {
	r.dropExpired()
	if len(r.queue) == 0 {
		r.stepping = false
		return
	}
	j := r.queue[0]
	r.startPrefill(j)
	chunk := min(r.engine().ChunkTokens, j.uncachedTokens)
	took := r.engine().prefillTime(chunk, j.tokenPairs(chunk))
	j.uncachedTokens -= chunk
	r.prefillTokens += int64(chunk)
	r.after(took, func() {
		if j.uncachedTokens == 0 {
			r.queue = r.queue[1:]
			r.cache.Add(j.request.prompt.Segments)
			j.ended(jobDone)
		}
		r.step()
	})
}

// startPlainJobs starts queued jobs of a plain service while there are free slots.
func (r *replica) startPlainJobs() {
	for len(r.queue) > 0 && len(r.running) < r.service.Slots {
		j := r.queue[0]
		r.queue = r.queue[1:]
		r.running = append(r.running, j)
		r.after(j.request.serviceTime.Seconds()*1000, func() {
			for i := range r.running {
				if r.running[i] == j {
					r.running = append(r.running[:i], r.running[i+1:]...)
					break
				}
			}
			j.accepted()
			j.event()
			j.ended(jobDone)
			r.startPlainJobs()
		})
	}
}

// after runs a function after some milliseconds of work, scaled by the replica's slowness at the start and by its momentary
// slowdown, unless the replica has
// crashed or restarted since.
func (r *replica) after(ms float64, run func()) {
	incarnation := r.incarnation
	r.sim.After(r.workTime(ms), func() {
		if r.incarnation == incarnation {
			run()
		}
	})
}

// crash stops the replica and breaks the connections of its running and waiting jobs.
func (r *replica) crash() {
	lost := append(r.running, r.queue...)
	r.running, r.queue, r.up, r.stepping = nil, nil, false, false
	r.incarnation++
	for _, j := range lost {
		j.ended(jobBroken)
	}
}

// start begins a new incarnation of the replica, with an empty cache.
func (r *replica) start() {
	r.up, r.changingStage = true, false
	r.incarnation++
	if e := r.engine(); e != nil {
		r.cache = segmentcache.New(e.KVTokens)
	}
}

// setStage drains the replica and then changes its stage.
func (r *replica) setStage(stage upstream.Stage) {
	r.changingStage = true
	var poll func()
	poll = func() {
		const pollInterval = 10.0 // ms
		if len(r.running)+len(r.queue) > 0 {
			r.after(pollInterval, poll)
			return
		}
		r.after(r.engine().StageChangeTime, func() { r.changingStage, r.info.Stage = false, stage })
	}
	poll()
}
