package entry

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/hedge"
	"rhubarbpoint/pipeline"
	"rhubarbpoint/place"
	"rhubarbpoint/relay"
	"rhubarbpoint/traffic"
)

// hedgedExchange is a routed request that gets a second attempt at another replica if the first one is slow. It is for
// one goroutine; each attempt runs in another one on its own copy of the exchange.
type hedgedExchange struct {
	*routedExchange
	state  *hedge.Service
	budget hedge.Budget
	// secondSent is set once the request has had a second attempt; there is one for each request.
	secondSent bool
	denied     map[hedge.Reason]bool // counted already
}

// race is the state of one call of Attempt.
type race struct {
	first, second *raceAttempt // second is nil until it is sent
	trial         bool         // whether the first attempt is a trial of a refused prompt segment
	decision      hedge.Decision
	load          float64
	// failed is the error of the attempt that has failed while the other one runs, nil if none has.
	failed error
}

// executor returns the executor for the pipeline. Second attempts are only for plain services: the time of a model's
// response depends on the request more than on the replica.
func (x *routedExchange) executor(now time.Time) pipeline.Executor[place.Placement] {
	if x.routing.Hedging == nil || x.route.Kind != traffic.Idempotent || x.service.Engine != nil {
		return x
	}
	state := x.routing.Hedging.Services.ForService(x.service.Name)
	state.RecordRequest(now)
	return &hedgedExchange{routedExchange: x, state: state, budget: x.budget, denied: make(map[hedge.Reason]bool)}
}

// Attempt implements pipeline.Executor. It sends the first attempt, and a second one beside it when that is expected to
// be faster. If two attempts were sent, it records one of them itself, since the pipeline records only the other.
func (h *hedgedExchange) Attempt(ctx context.Context, p place.Placement) error {
	r := &race{trial: h.segmentTrial, first: startRace(ctx, h.fork(), p)}
	h.segmentTrial = false // a trial is one attempt
	defer func() { r.first.cancel(nil) }()
	timer := time.NewTimer(0) // stopped until the first decision
	defer timer.Stop()
	timer.Stop()
	if again := h.ask(ctx, r); again > 0 {
		timer.Reset(again)
	}
	for {
		var secondDone chan error
		if r.second != nil {
			secondDone = r.second.done
		}
		select {
		case err := <-r.first.done:
			if ended, result := h.ended(ctx, r, r.first, err); ended {
				return result
			}
		case err := <-secondDone:
			if ended, result := h.ended(ctx, r, r.second, err); ended {
				return result
			}
		case <-timer.C:
			if again := h.ask(ctx, r); again > 0 {
				timer.Reset(again)
			}
		}
	}
}

// ended handles the result of one attempt. It returns true and the result for the pipeline if the other attempt need not
// be waited for.
func (h *hedgedExchange) ended(ctx context.Context, r *race, a *raceAttempt, err error) (bool, error) {
	now := time.Now()
	h.merge(a)
	h.recordTime(now, r, a, err)
	other := r.second
	if a == r.second {
		other = r.first
	}
	switch {
	case r.second == nil:
		return true, err
	case r.failed != nil: // the other attempt has ended already
		if err == nil {
			h.finishRace(ctx, r, a, outcomeOnlyOne)
			h.request.RecordAttempt(r.failed)
			return true, nil
		}
		h.finishRace(ctx, r, nil, outcomeBothFailed)
		weaker, stronger := orderFailures(r.failed, err)
		h.request.RecordAttempt(weaker)
		return true, stronger
	case err != nil:
		r.failed = err
		return false, nil
	}
	lost := &lostRaceError{}
	if after := now.Sub(other.sent); other == r.first {
		lost.silent = h.state.RecordCancelledFirst(now, after, other.outlook(now))
	} else {
		h.state.RecordSecond(now, after, true, other.outlook(now))
	}
	other.cancel(lost)
	h.count("cancelled")
	h.request.RecordAttempt(lost)
	h.finishRace(ctx, r, a, outcomeCancelled)
	return true, nil
}

// recordTime records the time of an attempt that got a response.
func (h *hedgedExchange) recordTime(now time.Time, r *race, a *raceAttempt, err error) {
	switch {
	case err != nil || !a.exchange.answered():
	case a == r.first:
		h.state.RecordFirst(now, a.took, a.outlook(now))
	default:
		h.state.RecordSecond(now, a.took, false, a.outlook(now))
	}
}

// orderFailures orders the errors of two failed attempts. The stronger one decides what the pipeline does next: one of an
// attempt that may have run comes before one that did not run, and that before one that was not sent.
func orderFailures(a, b error) (weaker, stronger error) {
	if failureRank(a) > failureRank(b) {
		return b, a
	}
	return a, b
}

func failureRank(err error) int {
	switch {
	case errors.Is(err, relay.ErrNotSent), errors.Is(err, pipeline.ErrNotSent):
		return 0
	case errors.Is(err, relay.ErrRefused), errors.Is(err, pipeline.ErrNotRun):
		return 1
	}
	return 2
}

// ask decides whether a second attempt is sent now, and sends it. It returns the time until the next decision, or 0 if
// there is none.
func (h *hedgedExchange) ask(ctx context.Context, r *race) time.Duration {
	if h.secondSent || r.second != nil {
		return 0
	}
	now := time.Now()
	hedging := h.routing.Hedging
	r.load = h.routing.Balancer.SlotUse(now, h.routing.Replicas.Available(h.service.Name))
	in := &hedge.Input{
		Now: now, Sent: r.first.sent, Deadline: h.deadline.Add(-deadlineMargin), Running: r.first.outlook(now), Load: r.load,
		Started: h.request.Started + 1, MaxAttempts: h.route.MaxAttempts,
		Suspect: r.trial || h.suspect(now), CallerLeft: ctx.Err() != nil, Recheck: hedging.recheck(),
	}
	var child *routedExchange
	var chosen place.Placement
	r.decision = h.state.Ask(in, h.budget, func() (hedge.Outlook, bool) {
		var found bool
		child, chosen, found = h.chooseOther(now, r.first)
		return hedge.Outlook{Wait: chosen.Wait, Factor: hedging.factor(now, chosen.Replica)}, found
	})
	if d := r.decision; !d.Send {
		h.countDenied(d.Denied)
		if d.Again.IsZero() {
			return 0
		}
		return max(time.Microsecond, d.Again.Sub(now))
	}
	h.secondSent = true
	h.count("sent")
	r.second = startRace(ctx, child, chosen)
	return 0
}

// suspect reports whether the request is suspected of crashing replicas.
func (h *hedgedExchange) suspect(now time.Time) bool {
	avoid, err := h.server.opts.Suspects.Check(now, h.fingerprint)
	return err != nil || len(avoid) > 0
}

// chooseOther chooses a replica that the request has not been sent to, and returns the copy of the exchange for the
// attempt there.
func (h *hedgedExchange) chooseOther(now time.Time, first *raceAttempt) (*routedExchange, place.Placement, bool) {
	child := h.fork()
	child.refused = addIncarnation(child.refused, first.placement.Replica.Incarnation())
	for incarnation := range child.tried {
		child.refused[incarnation] = true
	}
	chosen, err := child.choose(now)
	child.lastPlacement = loggedPlacement(chosen)
	child.refused = maps.Clone(h.refused) // what the attempt itself finds is added
	return child, chosen, err == nil && !child.segmentTrial
}
