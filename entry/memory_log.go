package entry

import (
	"context"
	"log/slog"
	"net/http"

	"rhubarbpoint/memory"
)

// logRefusedForMemory logs a request that was refused before it ran.
func (s *Server) logRefusedForMemory(r *http.Request, id string, failed *Error, err error) {
	if omitted, allowed := s.memoryLogs.allow(); allowed {
		eventMemoryRefused.Log(r.Context(), s.opts.Logger, slog.String("request", id), slog.Int64("length", r.ContentLength), slog.Int64("held", s.opts.Memory.Held()),
			slog.Int64("bound", s.opts.Memory.Bounds().Bodies), logMillis("retry_after_ms", failed.RetryAfter), slog.String("error", err.Error()), omitted)
	}
}

// logResponseDropped logs a response that found no room.
func (s *Server) logResponseDropped(ctx context.Context, id string, err error) {
	s.metrics.memoryDropped.Inc(1)
	if omitted, allowed := s.memoryLogs.allow(); allowed {
		eventMemoryDropped.Log(ctx, s.opts.Logger, slog.String("request", id), slog.Int64("held", s.opts.Memory.Held()),
			slog.Int64("bound", s.opts.Memory.Bounds().Sum), slog.String("error", err.Error()), omitted)
	}
}

// endHolding ends what a request holds. It counts and logs the request if its caller was ended.
func (s *Server) endHolding(ctx context.Context, holding *memory.Holding) {
	holding.End()
	stalled, held, ended := holding.Ended()
	if !ended {
		return
	}
	s.metrics.memoryEnded.Inc(1)
	if omitted, allowed := s.memoryLogs.allow(); allowed {
		eventCallerEnded.Log(ctx, s.opts.Logger, slog.String("request", holding.Request), slog.Int64("held", held), logMillis("stalled_ms", stalled),
			slog.Int64("held_in_sum", s.opts.Memory.Held()), slog.Int64("bound", s.opts.Memory.Bounds().Sum), omitted)
	}
}
