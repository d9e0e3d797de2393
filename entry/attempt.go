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

// Errors that end an attempt, besides those of the engine and of the frames.
var (
	errNoEnd      = errors.New("entry: stream ended without an end frame")
	errCallerGone = errors.New("entry: caller cannot be reached")
)

// placement is an engine and the registration of the attempt there.
type placement struct {
	choice route.Choice
	run    *suspect.Attempt
}

// Place implements pipeline.Exchange.
func (g *generation) Place(ctx context.Context) (placement, error) {
	if g.repeated {
		if final := g.refreshVersion(); final != nil {
			return placement{}, errors.Mark(final, pipeline.ErrFinal)
		}
	}
	choice, run, err := g.place(ctx)
	return placement{choice, run}, g.mark(err)
}

// Attempt implements pipeline.Exchange.
func (g *generation) Attempt(ctx context.Context, p placement) error {
	choice, run := p.choice, p.run
	defer func() { run.End(time.Now()) }()
	g.attempts++
	before := len(g.whole.Delivered())
	g.s.flights.set(InFlightRequest{
		ID: g.req.RequestID, Workspace: g.req.Caller, Model: g.req.Model, Version: g.whole.Version(),
		Engine: choice.EngineID, Attempt: g.attempts, Delivered: before, Arrived: g.call.arrived, Deadline: g.call.deadline,
	})
	g.s.metrics.attempts.Inc(1)
	if before > 0 {
		g.s.metrics.resumed.Inc(1)
	}
	started := time.Now()
	g.s.opts.Router.Sent(started, choice, g.route)
	first, err := g.stream(ctx, choice, run)
	outcome := route.Outcome{Tokens: len(g.whole.Delivered()) - before, Failed: err != nil && ctx.Err() == nil}
	if !first.IsZero() {
		outcome.FirstToken = first.Sub(started)
	}
	g.s.opts.Router.Finished(time.Now(), choice, g.route, outcome)
	if err == nil {
		run.RecordSuccess(time.Now())
		g.s.opts.Health.RecordSuccess(time.Now(), choice.EngineID)
		return nil
	}
	if ctx.Err() == nil && !errors.Is(err, errCallerGone) {
		g.s.attemptFailed(ctx, g.req.RequestID, choice.EngineID, choice.Address, run, err)
		g.route.Deprioritized[choice.EngineID] = true
	}
	return g.mark(err)
}

// stream sends the request and delivers the tokens. It returns the time of the attempt's first new token.
func (g *generation) stream(ctx context.Context, choice route.Choice, run *suspect.Attempt) (first time.Time, err error) {
	req := *g.req
	req.Version = g.whole.Version()
	req.Delivered = slices.Clone(g.whole.Delivered())
	if choice.PrefillID != "" {
		req.KV = g.prefill(ctx, choice)
	}
	req.Attempt = strconv.Itoa(g.attempts)
	g.whole.Begin(req.Attempt)
	frames, err := g.s.opts.Engines.Generate(ctx, choice.Address, &req)
	g.sent = g.sent || !errors.Is(err, engine.ErrNotSent)
	if err != nil {
		return first, err
	}
	defer frames.Close()
	g.request.MarkAccepted()
	for !g.whole.Done() {
		frame, err := frames.Recv()
		if errors.Is(err, io.EOF) {
			err = errNoEnd
		}
		if err != nil {
			return first, err
		}
		fresh, err := g.whole.Add(frame)
		if err != nil {
			return first, err
		}
		g.noteEpoch(choice.EngineID, frame, run)
		if fresh {
			if first.IsZero() {
				first = time.Now()
			}
			if err := g.token(frame.Token); err != nil {
				return first, err
			}
		}
	}
	return first, nil
}

func (g *generation) noteEpoch(engineID string, frame *engine.Frame, run *suspect.Attempt) {
	if frame.Epoch != "" {
		epoch := engine.EpochHash(frame.Epoch)
		run.SetEpoch(epoch)
		g.s.epochs.set(engineID, epoch)
	}
}

// token hands a new token to the caller.
func (g *generation) token(token string) error {
	g.lastToken = time.Now()
	if g.firstToken.IsZero() {
		g.firstToken = g.lastToken
		g.s.metrics.firstToken.Update(g.firstToken.Sub(g.call.arrived).Milliseconds())
	}
	if g.deliver == nil {
		return nil
	}
	return errors.Mark(g.deliver(token), errCallerGone)
}

// attemptFailed draws the conclusions from a failure: a leaving engine, a crash, an unhealthy engine.
func (s *Server) attemptFailed(ctx context.Context, id, engineID, addr string, run *suspect.Attempt, err error) {
	eventAttemptFailed.Log(ctx, s.opts.Logger, slog.String("request", id), slog.String("engine", engineID),
		slog.String("error", err.Error()))
	switch {
	case errors.Is(err, engine.ErrDraining):
		s.reportLeaving(ctx, engineID, addr)
		return
	case errors.Is(err, engine.ErrOverloaded), errors.Is(err, engine.ErrUnknownModel):
		return
	case errors.Is(err, engine.ErrBroken), errors.Is(err, errNoEnd):
		if s.hasCrashed(ctx, engineID, addr, run.Epoch()) {
			s.metrics.crashes.Inc(1)
			eventEngineCrashed.Log(ctx, s.opts.Logger, slog.String("engine", engineID))
			run.RecordCrash(time.Now())
		}
	}
	if s.opts.Health.RecordFailure(time.Now(), engineID) {
		eventUpstreamEjected.Log(ctx, s.opts.Logger, slog.String("upstream", engineID))
	}
}
