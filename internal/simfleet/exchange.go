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

// maxRetries bounds the further attempts of one try, as entry does.
const maxRetries = 3

var errAttempt = errors.New("simfleet: the attempt failed")

// exchange is one try of a request at an instance, with its attempts.
type exchange struct {
	instance *instance
	request  *request
	service  *traffic.Service
	pipeline pipeline.Request
	tried    map[upstream.Incarnation]bool
	began    bool
}

// budget adapts a retry.Window in virtual time to the pipeline.
type budget struct {
	sim    *Sim
	window *retry.WindowBudget
}

// Take implements pipeline.Budget.
func (b budget) Take() bool { return b.window.Take(b.sim.Time()) }

func (x *exchange) begin() {
	i, k := x.instance, x.request.kind
	x.service = i.sim.services[k.Service]
	x.tried = make(map[upstream.Incarnation]bool)
	window := i.budgets.ForService(k.Service)
	window.RecordRequest(i.sim.Time())
	x.pipeline = pipeline.Request{MaxAttempts: max(1, k.MaxAttempts), MaxRetries: maxRetries, Budget: budget{i.sim, window}, Repeatable: k.MaxAttempts > 1}
	x.place()
}

// place chooses a replica and makes an attempt, or refuses the request.
func (x *exchange) place() {
	i, r := x.instance, x.request
	policy := i.sim.policy
	replicas := i.healthy(i.known[x.service.Name])
	var p place.Placement
	var err error
	if policy.choose != nil {
		p, err = policy.choose(i, replicas)
	} else {
		ask := &place.Request{
			Prompt: r.prompt, Deadline: simclock.At(r.deadline()), Target: policy.target(r.kind), Tried: x.tried, Resumed: x.began,
		}
		if policy.HideSegments {
			ask.Prompt.Segments = ask.Prompt.Segments[max(0, len(ask.Prompt.Segments)-1):]
		}
		p, err = i.board.Choose(i.sim.Time(), x.service, replicas, ask)
	}
	var busy *place.BusyError
	switch {
	case errors.As(err, &busy):
		x.refuse(retry.RetryAfter(busy.Excess, i.random.Float64))
	case err != nil:
		x.refuse(retry.MinRetryAfter)
	case p.Prefill != nil:
		x.prefill(p)
	default:
		x.run(p, nil)
	}
}

// prefill has the prompt processed at another replica first.
func (x *exchange) prefill(p place.Placement) {
	i, sent := x.instance, x.instance.sim.Now()
	before := i.board.RecordSend(p.Prefill, p.UncachedTokens)
	uncached := p.UncachedTokens
	x.send(p.Prefill, &job{promptOnly: true, accepted: func() {}, event: func() {}, ended: func(how ending) {
		if how == done {
			x.read(p.Prefill, p.UncachedTokens, before, sent)
			uncached = 0
		}
		i.board.RecordSendEnd(p.Prefill, uncached)
		x.judge(p.Prefill, how)
		if how != done {
			x.again(errors.Mark(errAttempt, pipeline.ErrNotRun))
			return
		}
		x.handOver(p)
	}})
}

// handOver chooses the replica that goes on with a processed prompt.
func (x *exchange) handOver(p place.Placement) {
	i := x.instance
	again, err := i.board.Choose(i.sim.Time(), x.service, i.healthy(i.known[x.service.Name]), &place.Request{
		Prompt: x.request.prompt, Deadline: simclock.At(x.request.deadline()), CacheSource: p.Prefill, Tried: x.tried,
	})
	if err == nil {
		p.Replica = again.Replica
	}
	x.run(p, i.sim.replicas[p.Prefill.ID])
}

// run sends the request to the replica that answers.
func (x *exchange) run(p place.Placement, source *replica) {
	i, sent := x.instance, x.instance.sim.Now()
	uncached := p.UncachedTokens
	if source != nil {
		uncached = 0
	}
	counted := uncached
	before := i.board.RecordSend(p.Replica, uncached)
	x.send(p.Replica, &job{
		source: source,
		accepted: func() {
			if x.service.Engine != nil {
				x.read(p.Replica, counted, before, sent)
				uncached = 0
			}
			if load := i.sim.replicas[p.Replica.ID].load(); load != nil && !i.sim.policy.HideLoad {
				i.board.UpdateLoad(i.sim.Time(), p.Replica, load)
			}
			x.pipeline.MarkAccepted()
		},
		event: func() {
			x.began = true
			i.sim.After(clientTrip, func() { x.request.event(i.sim.Now()) })
		},
		ended: func(how ending) {
			i.board.RecordSendEnd(p.Replica, uncached)
			x.judge(p.Replica, how)
			if source != nil {
				i.board.RecordHandoff(i.sim.Time(), p.Prefill, how != notRun)
			}
			switch how {
			case done:
				if x.service.Engine == nil {
					i.board.RecordResponseTime(p.Replica, i.sim.Now()-sent)
				}
				i.sim.After(clientTrip, func() { i.sim.end(x.request, x.request.complete()) })
			case notRun:
				x.again(errors.Mark(errAttempt, pipeline.ErrNotRun))
			case broken:
				x.again(errAttempt)
			}
		},
	})
}

func (x *exchange) read(known *upstream.Replica, uncached, before int, sent time.Duration) {
	i := x.instance
	if i.sim.policy.HidePrefillTimes {
		return
	}
	i.board.RecordPrefill(i.sim.Time(), known, x.service, &x.request.prompt, uncached, before, i.sim.Now()-sent)
}

// send carries a job to a replica and what it tells back, over the network.
func (x *exchange) send(known *upstream.Replica, j *job) {
	i := x.instance
	to := i.sim.replicas[known.ID]
	trip := i.sim.trip(i.zone, to.zone)
	j.request, j.deadline = x.request, x.request.deadline()
	accepted, event, ended := j.accepted, j.event, j.ended
	j.accepted = func() { i.sim.After(trip, accepted) }
	j.event = func() { i.sim.After(trip, event) }
	j.ended = func(how ending) {
		i.sim.After(trip, func() {
			i.inFlight[known.ID]--
			ended(how)
		})
	}
	i.inFlight[known.ID]++
	i.sim.After(trip, func() { to.take(j) })
}

// judge draws the conclusions about a replica from the end of a send.
func (x *exchange) judge(known *upstream.Replica, how ending) {
	i, now, start := x.instance, x.instance.sim.Time(), known.Incarnation()
	i.board.RecordSendResult(now, known, how == notRun)
	switch how {
	case done:
		i.health.RecordSuccess(now, upstream.Key(known))
	case notRun:
		x.tried[start] = true
		i.sim.result.RefusedAttempts++
	case broken:
		x.tried[start] = true
		i.health.RecordFailure(now, upstream.Key(known))
	}
}

// again makes a further attempt, if there may be one.
func (x *exchange) again(err error) {
	i := x.instance
	x.pipeline.RecordAttempt(err)
	switch {
	case i.sim.Now() >= x.request.deadline() || x.began:
		i.sim.end(x.request, failed)
	case x.pipeline.AllowRetry(i.sim.Time(), err):
		i.sim.After(retry.Backoff(x.pipeline.Attempts, i.random.Float64), x.place)
	case x.pipeline.MayHaveRun():
		i.sim.end(x.request, failed)
	default:
		x.refuse(retry.MinRetryAfter)
	}
}

// refuse tells the caller to come back.
func (x *exchange) refuse(pause time.Duration) {
	s := x.instance.sim
	s.After(clientTrip, func() { s.refused(x.request, s.policy.pause(pause)) })
}
