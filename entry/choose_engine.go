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

// errOnlyDeprioritized accompanies the choice of a deprioritized engine, when no other engine is left.
var errOnlyDeprioritized = errors.New("entry: only deprioritized engines are left")

// chooseEngine chooses an engine, admits the request at its first attempt, and registers the attempt with the suspect
// table. A suspect request waits until an engine that it may use is free.
func (g *generation) chooseEngine(ctx context.Context) (route.Choice, *suspect.Attempt, error) {
	suspects := g.server.opts.Suspects
	for waited := false; ; {
		changed := suspects.Changed()
		now := time.Now()
		avoid, err := suspects.Check(now, g.fingerprint)
		var choice route.Choice
		if err == nil {
			choice, err = g.pickEngine(now, avoid)
		}
		if errors.Is(err, errOnlyDeprioritized) && (waited || len(avoid) == 0) {
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
			var attempt *suspect.Attempt
			if attempt, err = suspects.Begin(now, choice.EngineID, g.fingerprint); err == nil {
				return choice, attempt, nil
			}
		}
		// An engine that is occupied by other suspect requests can become free.
		mayBecomeFree := len(avoid) > 0 && (errors.Is(err, route.ErrNoEngine) || errors.Is(err, errOnlyDeprioritized))
		if !mayBecomeFree && !errors.Is(err, suspect.ErrWait) {
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

// pickEngine returns errOnlyDeprioritized together with the choice of a deprioritized engine.
func (g *generation) pickEngine(now time.Time, avoid map[string]bool) (route.Choice, error) {
	req := *g.route
	req.Excluded = avoid
	req.Arrived = g.info.arrived
	if len(g.assembler.Delivered()) > 0 {
		// A completion that has begun continues at once, even if it will be late.
		req.Arrived, req.Deadline = time.Time{}, time.Time{}
	}
	req.Deprioritized = g.server.unhealthy(now)
	for id := range g.route.Deprioritized {
		req.Deprioritized[id] = true
	}
	choice, err := g.server.opts.Router.Pick(now, &req)
	if err != nil {
		g.reportTooLate(now, err)
		return choice, err
	}
	if choice.HoldFor > 0 {
		if observer, ok := g.server.opts.Admitter.(admit.OverloadObserver); ok {
			observer.RecordHeldBack(now)
		}
		return choice, nil
	}
	if len(avoid) > 0 || len(g.assembler.Delivered()) > 0 {
		choice.PrefillID, choice.PrefillAddress = "", ""
	}
	if req.Deprioritized[choice.EngineID] {
		return choice, errOnlyDeprioritized
	}
	return choice, nil
}

// unhealthy returns the engines that a request should not choose because of their failures.
func (s *Server) unhealthy(now time.Time) map[string]bool {
	doc := s.opts.Document()
	ids := make([]string, 0, len(doc.Models.Engines))
	for _, e := range doc.Models.Engines {
		ids = append(ids, e.ID)
	}
	return s.opts.Health.Excluded(now, ids)
}

// admit admits the request at its first attempt. The admission holds for the later attempts as well.
func (g *generation) admit(now time.Time, choice route.Choice) error {
	if g.releaseAdmission != nil {
		return nil
	}
	req := g.admission(now)
	if choice.Cost > 0 {
		req.Cost, req.EstimatedFinish = choice.Cost, now.Add(choice.Finish)
	}
	release, err := g.server.opts.Admitter.Admit(now, req)
	if err != nil {
		return err
	}
	g.releaseAdmission = release
	return nil
}

// admission estimates the request from the averages of earlier completions. admit replaces the estimate by the
// router's, which is better informed, if there is one.
func (g *generation) admission(now time.Time) *admit.Request {
	expected := g.server.estimates.get(g.model.Name)
	decode := expected.decodeTime(g.req.MaxTokens)
	rate := orDefault(g.model.PrefillTokensPerSecond, defaultPrefillRate)
	prefill := float64(g.route.PromptTokens) / rate
	return &admit.Request{
		Workspace: g.info.workspace.Name, Weight: g.info.workspace.Weight,
		Cost:     prefill + decode.Seconds()/typicalBatch,
		Deadline: g.info.deadline, EstimatedFinish: now.Add(time.Duration(prefill*float64(time.Second)) + decode),
	}
}

// reportTooLate reports a request that no engine can serve in time to the admitter, unless it was admitted before.
func (g *generation) reportTooLate(now time.Time, err error) {
	if observer, ok := g.server.opts.Admitter.(admit.OverloadObserver); ok && g.releaseAdmission == nil && errors.Is(err, route.ErrTooLate) {
		observer.RecordTooLate(now, g.admission(now))
	}
}
