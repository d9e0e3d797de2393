package entry

import (
	"context"
	"log/slog"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
)

// maxCrashProbes is the number of questions to an engine after a broken stream. A connection that breaks at the question
// itself says nothing, so it is asked again.
const maxCrashProbes = 3

// hasCrashed says whether an engine that broke a stream has restarted since or accepts no connections. known is the
// hash of the epoch in which the stream began, 0 if it broke before the first frame.
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
			// An unknown epoch counts as changed: the suspicion ends when the request finishes, but a crash that is
			// not counted would let a request crash one more engine.
			return epoch != known
		case errors.Is(err, engine.ErrNotSent):
			return true
		}
	}
	return false
}

// engineState asks although the request may be ending, since other requests profit from the answer.
func (s *Server) engineState(ctx context.Context, addr string) (*engine.State, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stateTimeout)
	defer cancel()
	return s.opts.Engines.State(ctx, addr)
}

// reportLeaving tells of a leaving engine, once for refusals that come together. It needs the engine's epoch, because the next start of the engine may take
// work again.
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
