package resume

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/topo"
)

const (
	// recordKey holds the software versions of each service that may have open streams.
	recordKey = "rhubarbpoint/versions"
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// writeSpread is the longest random delay before a write. All writers see a new version at the same time, and the first
	// write suffices.
	writeSpread = 100 * time.Millisecond
)

// Observe records a change of a key that the watch of the store has shown; other keys than that of the record are ignored.
func (s *Service) Observe(entry topo.Entry) {
	if entry.Key != recordKey {
		return
	}
	s.versions.setRecorded(time.Now(), entry.Revision, s.decode(entry))
	if !s.versions.isRecorded(time.Now()) {
		s.wakeRecorder()
	}
}

// ObserveList records all entries of the store.
func (s *Service) ObserveList(entries []topo.Entry) {
	i := slices.IndexFunc(entries, func(entry topo.Entry) bool { return entry.Key == recordKey })
	if i < 0 {
		s.versions.setRecorded(time.Now(), 0, nil)
		return
	}
	s.versions.setRecorded(time.Now(), entries[i].Revision, s.decode(entries[i]))
}

// decode returns the record, or nil if there is no readable one.
func (s *Service) decode(entry topo.Entry) *record {
	if entry.Value == nil {
		return nil
	}
	decoded := newRecord()
	if err := json.Unmarshal(entry.Value, decoded); err != nil {
		eventRecordUnreadable.Log(context.Background(), s.opts.Logger, slog.String("error", err.Error()), slog.Int64("revision", entry.Revision))
		return nil
	}
	return decoded
}

// keepRecord writes the record if the store does not have what it should have.
func (s *Service) keepRecord(ctx context.Context) {
	if !s.opts.Writes() && !s.versions.keepsMarked() || s.recordFailedLately() || s.versions.isRecorded(time.Now()) {
		return
	}
	if !sleep.For(ctx, rand.N(writeSpread)) || s.versions.isRecorded(time.Now()) {
		return
	}
	_, _ = s.writes.do(ctx) // logs its errors
}

// look records which replicas are listed. After a time in which this instance did not follow the store, or did not run, it does not
// know which versions have served meanwhile.
func (s *Service) look() {
	now := time.Now()
	s.versions.see(now, s.opts.Replicas.All())
	inTouch := s.opts.InTouch()
	s.mu.Lock()
	at := s.opts.Clock()
	gap := at.Sub(s.lookedAt)
	s.lookedAt = at
	if inTouch {
		s.touchedAt = at
	}
	s.mu.Unlock()
	if gap > presentTime || !inTouch {
		s.versions.doubt(now)
	}
}

// writeRecord writes the record if the store does not have what it should have. A conflict is not an error: another instance has
// written, and the caller looks whether that suffices.
func (s *Service) writeRecord(ctx context.Context) (struct{}, error) {
	err := s.tryWriteRecord(ctx)
	if errors.Is(err, topo.ErrConflict) {
		err = nil
	}
	if err != nil {
		s.mu.Lock()
		s.recordFailedAt = time.Now()
		s.mu.Unlock()
		eventVersionsNotRecorded.Log(ctx, s.opts.Logger, slog.String("error", err.Error()))
	}
	return struct{}{}, err
}

func (s *Service) tryWriteRecord(ctx context.Context) error {
	s.look()
	began := s.opts.Clock()
	entry, err := s.opts.Store.Get(ctx, recordKey)
	if err != nil && !errors.Is(err, topo.ErrNotFound) {
		return err
	}
	found := s.decode(entry)
	s.versions.setRecorded(time.Now(), entry.Revision, found)
	if s.versions.isRecorded(time.Now()) {
		return nil
	}
	wanted := s.versions.wanted(time.Now(), found)
	value, err := json.Marshal(wanted)
	if err != nil {
		return err
	}
	if s.opts.Clock().Sub(began) > storeTimeout {
		// This instance did not run for a while, and a version that was gone may serve again.
		return topo.ErrConflict
	}
	revision, err := s.opts.Store.Put(ctx, recordKey, value, entry.Revision, 0)
	if err != nil {
		return err
	}
	s.versions.setRecorded(time.Now(), revision, wanted)
	eventVersionsRecorded.Log(ctx, s.opts.Logger, slog.Any("versions", wanted.versions),
		slog.Int("retiring", len(wanted.retiring)), slog.Int64("revision", revision))
	return nil
}

func (s *Service) recordFailedLately() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.recordFailedAt.IsZero() && time.Since(s.recordFailedAt) < logInterval
}
