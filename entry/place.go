package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/admit"
	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/route"
	"rhubarbpoint/suspect"
)

// errUnwanted is a choice that the request excludes, of which nothing better is left.
var errUnwanted = errors.New("entry: only excluded engines are left")

// place chooses an engine, admits the request the first time, and registers the attempt. A suspect waits until an
// engine that it may use is free.
func (g *generation) place(ctx context.Context) (route.Choice, *suspect.Attempt, error) {
	suspects := g.s.opts.Suspects
	for waited := false; ; {
		changed := suspects.Changed()
		now := time.Now()
		avoid, err := suspects.Check(now, g.fingerprint)
		var choice route.Choice
		if err == nil {
			choice, err = g.pick(now, avoid)
		}
		if errors.Is(err, errUnwanted) && (waited || len(avoid) == 0) {
			err = nil
		}
		if err == nil {
			err = g.admit(now, choice)
		}
		if err == nil && choice.HoldFor > 0 {
			if !sleep.For(ctx, choice.HoldFor) {
				return route.Choice{}, nil, context.Cause(ctx)
			}
			continue
		}
		if err == nil {
			var run *suspect.Attempt
			if run, err = suspects.Begin(now, choice.EngineID, g.fingerprint); err == nil {
				return choice, run, nil
			}
		}
		// An engine that other suspects keep from this one can become free.
		held := len(avoid) > 0 && (errors.Is(err, route.ErrNoEngine) || errors.Is(err, errUnwanted))
		if !held && !errors.Is(err, suspect.ErrWait) {
			return route.Choice{}, nil, err
		}
		select {
		case <-ctx.Done():
			return route.Choice{}, nil, context.Cause(ctx)
		case <-changed:
		case <-time.After(noEngineWait):
			waited = true
		}
	}
}

// pick returns errUnwanted together with a choice that is excluded.
func (g *generation) pick(now time.Time, avoid map[string]bool) (route.Choice, error) {
	req := *g.route
	req.Excluded = avoid
	req.Arrived = g.call.arrived
	if len(g.whole.Delivered()) > 0 {
		// An answer that has begun goes on at once, also when it will be late.
		req.Arrived, req.Deadline = time.Time{}, time.Time{}
	}
	req.Deprioritized = g.s.unhealthy(now)
	for id := range g.route.Deprioritized {
		req.Deprioritized[id] = true
	}
	choice, err := g.s.opts.Router.Pick(now, &req)
	if err != nil {
		g.noteRefusal(now, err)
		return choice, err
	}
	if choice.HoldFor > 0 {
		if observer, ok := g.s.opts.Admitter.(admit.OverloadObserver); ok {
			observer.RecordHeldBack(now)
		}
		return choice, nil
	}
	if len(avoid) > 0 || len(g.whole.Delivered()) > 0 {
		choice.PrefillID, choice.PrefillAddress = "", ""
	}
	if req.Deprioritized[choice.EngineID] {
		return choice, errUnwanted
	}
	return choice, nil
}

// unhealthy returns the engines that a request should not choose.
func (s *Server) unhealthy(now time.Time) map[string]bool {
	doc := s.opts.Document()
	ids := make([]string, 0, len(doc.Models.Engines))
	for _, e := range doc.Models.Engines {
		ids = append(ids, e.ID)
	}
	return s.opts.Health.Excluded(now, ids)
}

// admit asks for admission once for all attempts.
func (g *generation) admit(now time.Time, choice route.Choice) error {
	if g.release != nil {
		return nil
	}
	req := g.admission(now)
	if choice.Cost > 0 {
		req.Cost, req.EstimatedFinish = choice.Cost, now.Add(choice.Finish)
	}
	release, err := g.s.opts.Admitter.Admit(now, req)
	if err != nil {
		return err
	}
	g.release = release
	return nil
}

// admission describes the request by the mean of earlier ones. Routing knows more, if it gives an estimate.
func (g *generation) admission(now time.Time) *admit.Request {
	expected := g.s.expected.get(g.model.Name)
	decode := expected.decode(g.req.MaxTokens)
	rate := orDefault(g.model.PrefillTokensPerSecond, defaultPrefillRate)
	prefill := float64(g.route.PromptTokens) / rate
	return &admit.Request{
		Workspace: g.call.workspace.Name, Weight: g.call.workspace.Weight,
		Cost:     prefill + decode.Seconds()/expectedBatch,
		Deadline: g.call.deadline, EstimatedFinish: now.Add(time.Duration(prefill*float64(time.Second)) + decode),
	}
}

// noteRefusal tells the admitter of a request that no engine can answer in time, the first time that it is refused.
func (g *generation) noteRefusal(now time.Time, err error) {
	if observer, ok := g.s.opts.Admitter.(admit.OverloadObserver); ok && g.release == nil && errors.Is(err, route.ErrTooLate) {
		observer.RecordTooLate(now, g.admission(now))
	}
}
