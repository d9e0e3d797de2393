package discovery

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/topo"
)

// ErrInvalidSnapshot marks a snapshot of a peer that cannot be decoded.
var ErrInvalidSnapshot = errors.New("discovery: invalid snapshot")

// snapshot holds the routes and replicas that an instance knows, for a peer that cannot reach the store. The values are
// encoded as in the store.
type snapshot struct {
	Table    []byte            `json:"table"`
	Replicas map[string][]byte `json:"replicas"`
}

// Version returns the version of the routes in force, or 0 if none are in force yet.
func (w *Watcher) Version() int64 {
	if table := w.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// EncodeSnapshot returns the version of the routes in force and an encoded snapshot for ApplySnapshot at a peer. It
// returns 0 and nil if no routes are in force yet.
func (w *Watcher) EncodeSnapshot() (version int64, data []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	table := w.table.Load()
	if table == nil || w.known.Table == nil {
		return 0, nil
	}
	if w.encodedGeneration != w.generation {
		data, err := json.Marshal(&w.known)
		if err != nil {
			panic(errors.NewAssertionErrorWithWrappedErrf(err, "discovery: encode snapshot as JSON"))
		}
		w.encoded, w.encodedGeneration = data, w.generation
	}
	return table.Version, w.encoded
}

// ApplySnapshot applies a snapshot of a peer. Its routes take effect if they are newer than those in force. Its
// replicas take effect only while this instance has never read the store, because the store's list is complete. It
// returns ErrInvalidSnapshot if the snapshot cannot be decoded.
func (w *Watcher) ApplySnapshot(now time.Time, data []byte) error {
	var received snapshot
	if err := json.Unmarshal(data, &received); err != nil {
		return errors.Mark(err, ErrInvalidSnapshot)
	}
	w.applying.Lock()
	defer w.applying.Unlock()
	w.applyTable(topo.Entry{Key: w.opts.Format.TableKey, Value: received.Table})
	w.mu.Lock()
	listed := w.listed
	w.mu.Unlock()
	if listed {
		return nil
	}
	for key, value := range received.Replicas {
		w.applyReplica(now, topo.Entry{Key: key, Value: value})
	}
	return nil
}

// recordValue keeps the value of an entry for EncodeSnapshot.
func (w *Watcher) recordValue(entry topo.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.generation++
	if entry.Value != nil && w.opts.Format.PeerValue != nil {
		entry.Value = w.opts.Format.PeerValue(entry.Key, entry.Value)
	}
	switch {
	case entry.Key == w.opts.Format.TableKey:
		w.known.Table = entry.Value
	case entry.Value == nil:
		delete(w.known.Replicas, entry.Key)
	default:
		w.known.Replicas[entry.Key] = entry.Value
	}
}
