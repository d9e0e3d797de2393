package authority

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/topo"
)

// storeTimeout bounds one store call.
const storeTimeout = 2 * time.Second

// journal reads and writes the journal entries of engines. It keeps nothing and is safe for concurrent use.
type journal struct {
	store topo.Store
}

// read returns an engine's entry. An engine without one has an idle entry of revision zero.
func (j journal) read(ctx context.Context, engineID string) (journalEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := j.store.Get(ctx, journalKey(engineID))
	if errors.Is(err, topo.ErrNotFound) {
		return journalEntry{Record: Record{Engine: engineID, State: StateIdle}}, nil
	}
	if err != nil {
		return journalEntry{}, errors.Wrap(err, "authority: read journal")
	}
	return decodeRecord(entry)
}

// write replaces an entry by compare-and-swap. After an ambiguous write it reads back; if the record is not there, the
// write may still land later, which leaves an entry that the next reconciliation resolves.
func (j journal) write(ctx context.Context, old journalEntry, record Record) (journalEntry, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return old, errors.Wrap(err, "authority: encode journal")
	}
	put, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := j.store.Put(put, journalKey(record.Engine), value, old.revision, 0)
	if err == nil {
		return journalEntry{Record: record, revision: revision}, nil
	}
	if errors.IsAny(err, topo.ErrConflict, topo.ErrUnavailable, topo.ErrRateLimited) {
		return old, errors.Wrap(err, "authority: write journal")
	}
	get, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, readErr := j.store.Get(get, journalKey(record.Engine))
	if readErr != nil || !bytes.Equal(entry.Value, value) {
		return old, errors.Wrap(err, "authority: write journal")
	}
	return journalEntry{Record: record, revision: entry.Revision}, nil
}

// list returns all entries.
func (j journal) list(ctx context.Context) ([]journalEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := j.store.List(ctx, "journal/")
	if err != nil {
		return nil, errors.Wrap(err, "authority: list journal")
	}
	var found []journalEntry
	for _, entry := range entries {
		record, err := decodeRecord(entry)
		if err != nil {
			return nil, err
		}
		found = append(found, record)
	}
	return found, nil
}
