package entry

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
	"rhubarbpoint/route"
	"rhubarbpoint/stream"
)

// minHandoffTimeout leaves room for the calls themselves when a prompt is short.
const minHandoffTimeout = time.Second

// remotePrefill has another engine process the prompt and moves its KV cache to the engine that decodes. It returns nil when
// any step fails; the request then runs without.
func (g *generation) remotePrefill(ctx context.Context, choice route.Choice) *engine.KVHandle {
	handle, err := g.prefillAndHandOff(ctx, choice)
	if err == nil {
		return handle
	}
	if ctx.Err() == nil {
		eventPrefillFailed.Log(ctx, g.server.opts.Logger, slog.String("request", g.req.RequestID),
			slog.String("engine", choice.PrefillID), slog.String("error", err.Error()))
	}
	return nil
}

func (g *generation) prefillAndHandOff(ctx context.Context, choice route.Choice) (*engine.KVHandle, error) {
	if err := g.runPrefill(ctx, choice); err != nil {
		return nil, err
	}
	// Moving the cache must not take longer than processing the prompt again.
	rate := orDefault(g.model.PrefillTokensPerSecond, defaultPrefillRate)
	timeout := max(minHandoffTimeout, time.Duration(float64(g.route.PromptTokens)/rate*float64(time.Second)))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	engines := g.server.opts.Engines
	handle, err := engines.ExportKV(ctx, choice.PrefillAddress, g.req.RequestID)
	if err != nil {
		return nil, err
	}
	if handle.RequestID != g.req.RequestID || handle.Model != g.req.Model || handle.Version != g.assembler.Version() {
		return nil, errors.New("entry: KV cache of another request")
	}
	return handle, engines.ImportKV(ctx, choice.Address, handle)
}

// runPrefill runs the prefill. Its frames are checked like those of an answer, which must have no tokens.
func (g *generation) runPrefill(ctx context.Context, choice route.Choice) (err error) {
	run, err := g.server.opts.Suspects.Begin(time.Now(), choice.PrefillID, g.fingerprint)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil && ctx.Err() == nil {
			g.server.handleAttemptFailure(ctx, g.req.RequestID, choice.PrefillID, choice.PrefillAddress, run, err)
		}
		run.End(time.Now())
	}()
	req := *g.req
	req.Version, req.Attempt, req.PrefillOnly = g.assembler.Version(), strconv.Itoa(g.attempts)+"-prefill", true
	frames, err := g.server.opts.Engines.Generate(ctx, choice.PrefillAddress, &req)
	g.sent = g.sent || !errors.Is(err, engine.ErrNotSent)
	if err != nil {
		return err
	}
	defer frames.Close()
	check := stream.NewAssembler(req.RequestID, req.Version, 0)
	check.Begin(req.Attempt)
	for !check.Done() {
		frame, err := frames.Recv()
		if errors.Is(err, io.EOF) {
			err = errNoEndFrame
		}
		if err != nil {
			return err
		}
		if _, err := check.Add(frame); err != nil {
			return err
		}
		g.recordEpoch(choice.PrefillID, frame, run)
	}
	return nil
}
