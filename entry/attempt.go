package entry

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
	"rhubarbpoint/pipeline"
	"rhubarbpoint/route"
	"rhubarbpoint/suspect"
)

// Errors that end an attempt, in addition to those of the engine client and of package stream.
var (
	errNoEndFrame        = errors.New("entry: stream ended without an end frame")
	errCallerUnreachable = errors.New("entry: caller cannot be reached")
)

// placement is the engine chosen for an attempt, and the attempt as the suspect table tracks it.
type placement struct {
	choice  route.Choice
	attempt *suspect.Attempt
}

// Place implements pipeline.Executor.
func (g *generation) Place(ctx context.Context) (placement, error) {
	if err := g.checkSegments(time.Now()); err != nil {
		return placement{}, g.mark(err)
	}
	if g.retrying {
		if final := g.refreshVersion(); final != nil {
			return placement{}, errors.Mark(final, pipeline.ErrFinal)
		}
	}
	choice, attempt, err := g.chooseEngine(ctx)
	return placement{choice, attempt}, g.mark(err)
}

// Attempt implements pipeline.Executor.
func (g *generation) Attempt(ctx context.Context, p placement) error {
	choice, attempt := p.choice, p.attempt
	defer func() { attempt.End(time.Now()) }()
	prompt, err := g.beginSegments(time.Now(), choice.EngineID)
	if err != nil {
		return g.mark(errors.Mark(err, pipeline.ErrNotSent))
	}
	result := suspect.Unresolved
	defer func() { prompt.End(time.Now(), result) }()
	g.attempts++
	deliveredBefore := len(g.assembler.Delivered())
	g.server.inFlightRequests.set(InFlightRequest{
		ID: g.req.RequestID, Workspace: g.req.Caller, Model: g.req.Model, Version: g.assembler.Version(),
		Engine: choice.EngineID, Attempt: g.attempts, Delivered: deliveredBefore, Arrived: g.info.arrived, Deadline: g.info.deadline,
	})
	g.server.metrics.attempts.Inc(1)
	if deliveredBefore > 0 {
		g.server.metrics.resumed.Inc(1)
	}
	started := time.Now()
	g.server.opts.Router.Sent(started, choice, g.route)
	first, err := g.stream(ctx, choice, attempt)
	outcome := route.Outcome{Tokens: len(g.assembler.Delivered()) - deliveredBefore, Failed: err != nil && ctx.Err() == nil}
	if !first.IsZero() {
		outcome.FirstToken = first.Sub(started)
	}
	g.server.opts.Router.Finished(time.Now(), choice, g.route, outcome)
	if err == nil {
		result = suspect.Answered
		attempt.RecordSuccess(time.Now())
		g.server.opts.Health.RecordSuccess(time.Now(), choice.EngineID)
		return nil
	}
	if ctx.Err() == nil && !errors.Is(err, errCallerUnreachable) {
		result = g.server.handleAttemptFailure(ctx, g.req.RequestID, choice.EngineID, choice.Address, attempt, err)
		g.route.Deprioritized[choice.EngineID] = true
	}
	return g.mark(err)
}

// stream sends the request and delivers the tokens. It returns the time of the attempt's first new token.
func (g *generation) stream(ctx context.Context, choice route.Choice, attempt *suspect.Attempt) (first time.Time, err error) {
	req := *g.req
	req.Version = g.assembler.Version()
	req.Delivered = slices.Clone(g.assembler.Delivered())
	if choice.PrefillID != "" {
		req.KV = g.remotePrefill(ctx, choice)
	}
	req.Attempt = strconv.Itoa(g.attempts)
	g.assembler.Begin(req.Attempt)
	frames, err := g.server.opts.Engines.Generate(ctx, choice.Address, &req)
	g.sent = g.sent || !errors.Is(err, engine.ErrNotSent)
	if err != nil {
		return first, err
	}
	defer frames.Close()
	g.request.MarkAccepted()
	for !g.assembler.Done() {
		frame, err := frames.Recv()
		if errors.Is(err, io.EOF) {
			err = errNoEndFrame
		}
		if err != nil {
			return first, err
		}
		isNew, err := g.assembler.Add(frame)
		if err != nil {
			return first, err
		}
		g.recordEpoch(choice.EngineID, frame, attempt)
		if isNew {
			if first.IsZero() {
				first = time.Now()
			}
			if err := g.deliverToken(frame.Token); err != nil {
				return first, err
			}
		}
	}
	return first, nil
}

// recordEpoch keeps the start epoch of the engine, if the frame states it, to detect a restart later.
func (g *generation) recordEpoch(engineID string, frame *engine.Frame, attempt *suspect.Attempt) {
	if frame.Epoch != "" {
		epoch := engine.EpochHash(frame.Epoch)
		attempt.SetEpoch(epoch)
		g.server.epochs.set(engineID, epoch)
	}
}

// deliverToken passes a new token to the caller.
func (g *generation) deliverToken(token string) error {
	g.lastToken = time.Now()
	if g.firstToken.IsZero() {
		g.firstToken = g.lastToken
		g.server.metrics.firstToken.Update(g.firstToken.Sub(g.info.arrived).Milliseconds())
	}
	if g.deliver == nil {
		return nil
	}
	return errors.Mark(g.deliver(token), errCallerUnreachable)
}

// handleAttemptFailure logs a failed attempt and records what the error says about the engine: that it is leaving, has
// crashed or is unhealthy. It returns what the error says about the prompt.
func (s *Server) handleAttemptFailure(ctx context.Context, id, engineID, addr string, attempt *suspect.Attempt, err error) suspect.AttemptResult {
	result := suspect.Unresolved
	eventAttemptFailed.Log(ctx, s.opts.Logger, slog.String("request", id), slog.String("engine", engineID),
		slog.String("error", err.Error()))
	switch {
	case errors.Is(err, engine.ErrDraining):
		s.reportLeaving(ctx, engineID, addr)
		return suspect.NotRun
	case errors.Is(err, engine.ErrOverloaded), errors.Is(err, engine.ErrUnknownModel):
		return suspect.NotRun
	case errors.Is(err, engine.ErrNotSent):
		result = suspect.NotRun
	case errors.Is(err, engine.ErrConnectionBroken), errors.Is(err, errNoEndFrame):
		if s.hasCrashed(ctx, engineID, addr, attempt.Epoch()) {
			s.metrics.crashes.Inc(1)
			eventEngineCrashed.Log(ctx, s.opts.Logger, slog.String("engine", engineID))
			attempt.RecordCrash(time.Now())
			result = suspect.Crashed
		}
	}
	if s.opts.Health.RecordFailure(time.Now(), engineID) {
		eventUpstreamEjected.Log(ctx, s.opts.Logger, slog.String("upstream", engineID))
	}
	return result
}
