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

// minHandoffTimeout is the least time for a KV cache handoff, since the calls take time even if the prompt is short.
const minHandoffTimeout = time.Second

// remotePrefill has another engine process the prompt and transfers its KV cache to the engine that decodes. It returns
// nil if a step fails; the decoding engine then processes the prompt itself.
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
	// The handoff must not take longer than processing the prompt again.
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
		return nil, errors.Newf("entry: engine exported the KV cache of request %q, model %q, version %q instead",
			handle.RequestID, handle.Model, handle.Version)
	}
	return handle, engines.ImportKV(ctx, choice.Address, handle)
}

// runPrefill processes the prompt on the prefill engine. Its frames are checked like those of a completion that must
// have no tokens.
func (g *generation) runPrefill(ctx context.Context, choice route.Choice) (err error) {
	attempt, err := g.server.opts.Suspects.Begin(time.Now(), choice.PrefillID, g.fingerprint)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil && ctx.Err() == nil {
			g.server.handleAttemptFailure(ctx, g.req.RequestID, choice.PrefillID, choice.PrefillAddress, attempt, err)
		}
		attempt.End(time.Now())
	}()
	req := *g.req
	req.Version, req.Attempt, req.PrefillOnly = g.assembler.Version(), strconv.Itoa(g.attempts)+"-prefill", true
	frames, err := g.server.opts.Engines.Generate(ctx, choice.PrefillAddress, &req)
	g.sent = g.sent || !errors.Is(err, engine.ErrNotSent)
	if err != nil {
		return err
	}
	defer frames.Close()
	assembler := stream.NewAssembler(req.RequestID, req.Version, 0)
	assembler.Begin(req.Attempt)
	for !assembler.Done() {
		frame, err := frames.Recv()
		if errors.Is(err, io.EOF) {
			err = errNoEndFrame
		}
		if err != nil {
			return err
		}
		if _, err := assembler.Add(frame); err != nil {
			return err
		}
		g.recordEpoch(choice.PrefillID, frame, attempt)
	}
	return nil
}
