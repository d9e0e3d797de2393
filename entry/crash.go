package entry

import (
	"context"
	"log/slog"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
)

// maxCrashProbes limits the state requests to an engine after a broken stream. A connection that breaks during such a
// request proves nothing, so the request is repeated.
const maxCrashProbes = 3

// hasCrashed reports whether an engine that broke a stream has restarted since or accepts no connections. known is the
// hash of the start epoch in which the stream began, or 0 if it broke before the first frame.
func (s *Server) hasCrashed(ctx context.Context, engineID, addr string, known uint64) bool {
	if known == 0 {
		known = s.epochs.get(engineID)
	}
	for range maxCrashProbes {
		state, err := s.engineState(ctx, addr)
		switch {
		case err == nil:
			epoch := engine.EpochHash(state.Epoch)
			s.epochs.set(engineID, epoch)
			// An unknown epoch counts as changed. A false suspicion ends when the request finishes, but a crash that is
			// not counted would let a request crash one more engine.
			return epoch != known
		case errors.Is(err, engine.ErrNotSent):
			return true
		}
	}
	return false
}

// engineState requests an engine's state, even if the context of the caller's request has ended, because other requests
// need the result as well.
func (s *Server) engineState(ctx context.Context, addr string) (*engine.State, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stateTimeout)
	defer cancel()
	return s.opts.Engines.State(ctx, addr)
}

// reportLeaving reports a leaving engine in the background, once for refusals that come at the same time. The report
// carries the engine's start epoch, because the engine may accept requests again after its next start.
func (s *Server) reportLeaving(ctx context.Context, engineID, addr string) {
	if _, pending := s.leavingReports.LoadOrStore(engineID, true); pending {
		return
	}
	s.backgroundTasks.Go(func() {
		defer s.leavingReports.Delete(engineID)
		epoch := s.epochs.get(engineID)
		if state, err := s.engineState(ctx, addr); err == nil {
			epoch = engine.EpochHash(state.Epoch)
			s.epochs.set(engineID, epoch)
		}
		eventEngineLeaving.Log(ctx, s.opts.Logger, slog.String("engine", engineID))
		s.opts.OnLeaving(engineID, epoch)
	})
}
