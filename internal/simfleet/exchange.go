package simfleet

import (
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/simclock"
	"rhubarbpoint/pipeline"
	"rhubarbpoint/place"
	"rhubarbpoint/retry"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// maxRetries bounds the retries of one exchange, as entry does.
const maxRetries = 3

var errAttemptFailed = errors.New("simfleet: attempt failed")

// exchange is a request that a caller has sent to an instance, with the attempts that the instance makes. A caller that
// sends a refused request again starts a new exchange.
type exchange struct {
	instance        *instance
	request         *request
	service         *traffic.Service
	pipeline        pipeline.Request
	tried           map[upstream.Incarnation]bool
	responseStarted bool
}

// retryBudget adapts a retry.WindowBudget to pipeline.Budget, in virtual time.
type retryBudget struct {
	sim    *Sim
	window *retry.WindowBudget
}

// Take implements pipeline.Budget.
func (b retryBudget) Take() bool { return b.window.Take(b.sim.Time()) }

func (x *exchange) begin() {
	i, k := x.instance, x.request.kind
	x.service = i.sim.services[k.Service]
	x.tried = make(map[upstream.Incarnation]bool)
	window := i.budgets.ForService(k.Service)
	window.RecordRequest(i.sim.Time())
	x.pipeline = pipeline.Request{MaxAttempts: max(1, k.MaxAttempts), MaxRetries: maxRetries, Budget: retryBudget{i.sim, window}, Repeatable: k.MaxAttempts > 1}
	x.place()
}

// place chooses a replica and sends the request there, or refuses the request.
func (x *exchange) place() {
	i, r := x.instance, x.request
	policy := i.sim.policy
	replicas := i.healthy(i.replicas[x.service.Name])
	var p place.Placement
	var err error
	if policy.choose != nil {
		p, err = policy.choose(i, replicas)
	} else {
		req := &place.Request{
			Prompt: r.prompt, Deadline: simclock.At(r.deadline()), Target: policy.target(r.kind), Tried: x.tried, Resumed: x.responseStarted,
		}
		if policy.HideSegments {
			req.Prompt.Segments = req.Prompt.Segments[max(0, len(req.Prompt.Segments)-1):]
		}
		p, err = i.balancer.Choose(i.sim.Time(), x.service, replicas, req)
	}
	var busy *place.BusyError
	switch {
	case errors.As(err, &busy):
		x.refuse(retry.RetryAfter(busy.Excess, busy.Pause, i.random.Float64))
	case err != nil:
		x.refuse(retry.MinRetryAfter)
	case p.Prefill != nil:
		x.remotePrefill(p)
	default:
		x.run(p, nil)
	}
}

// remotePrefill has a prefill replica process the prompt first.
func (x *exchange) remotePrefill(p place.Placement) {
	i, sent := x.instance, x.instance.sim.Now()
	queuedBefore := i.balancer.RecordSend(i.sim.Time(), p.Prefill, p.UncachedTokens)
	uncached := p.UncachedTokens
	x.send(p.Prefill, &job{prefillOnly: true, accepted: func() {}, event: func() {}, ended: func(outcome jobOutcome) {
		if outcome == jobDone {
			x.updateLoad(p.Prefill)
			x.recordPrefill(p.Prefill, p.UncachedTokens, queuedBefore, sent)
			uncached = 0
		}
		i.balancer.RecordSendEnd(p.Prefill, uncached)
		x.recordEnd(p.Prefill, outcome)
		if outcome != jobDone {
			x.retry(errors.Mark(errAttemptFailed, pipeline.ErrNotRun))
			return
		}
		x.handOff(p)
	}})
}

// handOff chooses the decode replica after a remote prefill and sends the request there. If no replica can be chosen,
// it uses that of the first placement.
func (x *exchange) handOff(p place.Placement) {
	i := x.instance
	decode, err := i.balancer.Choose(i.sim.Time(), x.service, i.healthy(i.replicas[x.service.Name]), &place.Request{
		Prompt: x.request.prompt, Deadline: simclock.At(x.request.deadline()), CacheSource: p.Prefill, Tried: x.tried,
	})
	if err == nil {
		p.Replica = decode.Replica
	}
	x.run(p, i.sim.byID[p.Prefill.ID])
}

// run sends the request to the replica that generates the response. source is the replica that holds the KV cache after
// a remote prefill, or nil.
func (x *exchange) run(p place.Placement, source *replica) {
	i, sent := x.instance, x.instance.sim.Now()
	events, first, last := 0, time.Duration(0), time.Duration(0)
	uncached := p.UncachedTokens
	if source != nil {
		uncached = 0
	}
	sentUncached := uncached
	queuedBefore := i.balancer.RecordSend(i.sim.Time(), p.Replica, uncached)
	x.send(p.Replica, &job{
		cacheSource: source,
		accepted: func() {
			x.updateLoad(p.Replica)
			if x.service.Engine != nil {
				x.recordPrefill(p.Replica, sentUncached, queuedBefore, sent)
				uncached = 0
			}
			x.pipeline.MarkAccepted()
		},
		event: func() {
			x.responseStarted = true
			if events++; events == 1 {
				first = i.sim.Now()
			}
			last = i.sim.Now()
			i.sim.After(callerLatency, func() { x.request.receiveEvent(i.sim.Now()) })
		},
		ended: func(outcome jobOutcome) {
			i.balancer.RecordSendEnd(p.Replica, uncached)
			if x.service.Engine != nil {
				i.balancer.RecordEvents(i.sim.Time(), p.Replica, events-1, last-first)
			}
			x.recordEnd(p.Replica, outcome)
			if source != nil {
				i.balancer.RecordHandoff(i.sim.Time(), p.Prefill, outcome != jobNotRun)
			}
			switch outcome {
			case jobDone:
				if x.service.Engine == nil {
					i.balancer.RecordResponseTime(p.Replica, i.sim.Now()-sent)
				}
				i.sim.After(callerLatency, func() { i.sim.setOutcome(x.request, x.request.completionOutcome()) })
			case jobNotRun:
				x.retry(errors.Mark(errAttemptFailed, pipeline.ErrNotRun))
			case jobBroken:
				x.retry(errAttemptFailed)
			}
		},
	})
}

// updateLoad passes the load report of a response to the balancer, unless the policy hides it.
func (x *exchange) updateLoad(target *upstream.Replica) {
	i := x.instance
	if load := i.sim.byID[target.ID].load(); load != nil && !i.sim.policy.HideLoad {
		i.balancer.UpdateLoad(i.sim.Time(), target, load)
	}
}

// recordPrefill reports to the balancer how long a prompt took, unless the policy hides it.
func (x *exchange) recordPrefill(target *upstream.Replica, uncached, queuedBefore int, sent time.Duration) {
	i := x.instance
	if i.sim.policy.HidePrefillTimes {
		return
	}
	i.balancer.RecordPrefill(i.sim.Time(), target, x.service, &x.request.prompt, uncached, queuedBefore, i.sim.Now()-sent)
}

// send delivers a job to a replica and the replica's callbacks to the instance, each after the network latency.
func (x *exchange) send(target *upstream.Replica, j *job) {
	i := x.instance
	to := i.sim.byID[target.ID]
	latency := i.sim.latency(i.zone, to.zone)
	j.request, j.deadline = x.request, x.request.deadline()
	accepted, event, ended := j.accepted, j.event, j.ended
	j.accepted = func() { i.sim.After(latency, accepted) }
	j.event = func() { i.sim.After(latency, event) }
	j.ended = func(outcome jobOutcome) {
		i.sim.After(latency, func() {
			i.inFlight[target.ID]--
			ended(outcome)
		})
	}
	i.inFlight[target.ID]++
	i.sim.After(latency, func() { to.submit(j) })
}

// recordEnd updates the health and the load data of a replica, and the replicas tried, when a job ends.
func (x *exchange) recordEnd(target *upstream.Replica, outcome jobOutcome) {
	i, now, incarnation := x.instance, x.instance.sim.Time(), target.Incarnation()
	i.balancer.RecordSendResult(now, target, outcome == jobNotRun)
	switch outcome {
	case jobDone:
		i.health.RecordSuccess(now, upstream.Key(target))
	case jobNotRun:
		x.tried[incarnation] = true
		i.sim.result.RefusedAttempts++
	case jobBroken:
		x.tried[incarnation] = true
		i.health.RecordFailure(now, upstream.Key(target))
	}
}

// retry makes another attempt after a backoff if the pipeline allows it. A request that is past its deadline, has begun
// its response or may have run fails instead; any other is refused.
func (x *exchange) retry(err error) {
	i := x.instance
	x.pipeline.RecordAttempt(err)
	switch {
	case i.sim.Now() >= x.request.deadline() || x.responseStarted:
		i.sim.setOutcome(x.request, failed)
	case x.pipeline.AllowRetry(i.sim.Time(), err):
		i.sim.After(retry.Backoff(x.pipeline.Attempts, i.random.Float64), x.place)
	case x.pipeline.MayHaveRun():
		i.sim.setOutcome(x.request, failed)
	default:
		x.refuse(retry.MinRetryAfter)
	}
}

// refuse sends the caller a refusal with a Retry-After.
func (x *exchange) refuse(retryAfter time.Duration) {
	s := x.instance.sim
	s.After(callerLatency, func() { s.handleRefusal(x.request, s.policy.retryAfter(retryAfter)) })
}
