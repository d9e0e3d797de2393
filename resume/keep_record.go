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
	if entry.Key == recordKey {
		s.versions.setRecorded(time.Now(), s.decode(entry))
	}
}

// ObserveList records all entries of the store.
func (s *Service) ObserveList(entries []topo.Entry) {
	i := slices.IndexFunc(entries, func(entry topo.Entry) bool { return entry.Key == recordKey })
	if i < 0 {
		s.versions.setRecorded(time.Now(), nil)
		return
	}
	s.versions.setRecorded(time.Now(), s.decode(entries[i]))
}

// decode returns the record, or nil if there is no readable one.
func (s *Service) decode(entry topo.Entry) record {
	if entry.Value == nil {
		return nil
	}
	decoded := make(record)
	if err := json.Unmarshal(entry.Value, &decoded); err != nil {
		eventRecordUnreadable.Log(context.Background(), s.opts.Logger, slog.String("error", err.Error()), slog.Int64("revision", entry.Revision))
		return nil
	}
	return decoded
}

// keepRecord writes the record if the store does not have what it should have.
func (s *Service) keepRecord(ctx context.Context) {
	if now := time.Now(); !s.opts.Writes() || now.Sub(s.recordFailedAt) < logInterval || s.versions.isRecorded(now) {
		return
	}
	if !sleep.For(ctx, rand.N(writeSpread)) || s.versions.isRecorded(time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := s.writeRecord(ctx); err != nil && !errors.Is(err, topo.ErrConflict) {
		s.recordFailedAt = time.Now()
		eventVersionsNotRecorded.Log(ctx, s.opts.Logger, slog.String("error", err.Error()))
	}
}

func (s *Service) writeRecord(ctx context.Context) error {
	entry, err := s.opts.Store.Get(ctx, recordKey)
	if err != nil && !errors.Is(err, topo.ErrNotFound) {
		return err
	}
	found := s.decode(entry)
	s.versions.setRecorded(time.Now(), found)
	if s.versions.isRecorded(time.Now()) {
		return nil
	}
	wanted := s.versions.wanted(time.Now(), found)
	value, err := json.Marshal(wanted)
	if err != nil {
		return err
	}
	revision, err := s.opts.Store.Put(ctx, recordKey, value, entry.Revision, 0)
	if err != nil {
		return err
	}
	s.versions.setRecorded(time.Now(), wanted)
	eventVersionsRecorded.Log(ctx, s.opts.Logger, slog.Any("versions", wanted), slog.Int64("revision", revision))
	return nil
}
