package discovery

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/topo"
)

// ErrInvalidSnapshot marks a snapshot of a peer that cannot be used.
var ErrInvalidSnapshot = errors.New("discovery: unusable snapshot")

// snapshot is what an instance knows, for a peer that cannot reach the store: the values of the keys as the store holds
// them.
type snapshot struct {
	Table    []byte            `json:"table"`
	Replicas map[string][]byte `json:"replicas"`
}

// Version returns the version of the routes in force, 0 before the first ones.
func (s *Watcher) Version() int64 {
	if table := s.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// EncodeSnapshot returns the version of the routes in force and what this instance knows, for Offer at a peer; 0 and nil before the
// first routes.
func (s *Watcher) EncodeSnapshot() (version int64, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	table := s.table.Load()
	if table == nil || s.raw.Table == nil {
		return 0, nil
	}
	if s.encodedFor != s.changes {
		data, err := json.Marshal(&s.raw)
		if err != nil {
			panic(errors.NewAssertionErrorWithWrappedErrf(err, "a snapshot is valid JSON"))
		}
		s.encoded, s.encodedFor = data, s.changes
	}
	return table.Version, s.encoded
}

// ApplySnapshot takes what a peer knows. Routes take effect if they are newer. Replicas do only while this instance has never read
// the store, whose list is complete. It returns ErrSnapshot.
func (s *Watcher) ApplySnapshot(now time.Time, data []byte) error {
	var offered snapshot
	if err := json.Unmarshal(data, &offered); err != nil {
		return errors.Mark(err, ErrInvalidSnapshot)
	}
	s.takeTable(topo.Entry{Key: s.opts.Format.TableKey, Value: offered.Table})
	s.mu.Lock()
	listed := s.listed
	s.mu.Unlock()
	if listed {
		return nil
	}
	for key, value := range offered.Replicas {
		s.takeReplica(now, topo.Entry{Key: key, Value: value})
	}
	return nil
}

// keep holds the values of the store for Encoded.
func (s *Watcher) keep(entry topo.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes++
	switch {
	case entry.Key == s.opts.Format.TableKey:
		s.raw.Table = entry.Value
	case entry.Value == nil:
		delete(s.raw.Replicas, entry.Key)
	default:
		s.raw.Replicas[entry.Key] = entry.Value
	}
}
