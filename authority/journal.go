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

// journal reads and writes the engines' journal entries in the store. It has no state of its own and is safe for
// concurrent use.
type journal struct {
	store topo.Store
}

// read returns an engine's entry. For an engine without one it returns an entry in StateIdle with revision zero.
func (j journal) read(ctx context.Context, engineID string) (journalEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := j.store.Get(ctx, journalKey(engineID))
	if errors.Is(err, topo.ErrNotFound) {
		return journalEntry{Record: Record{Engine: engineID, State: StateIdle}}, nil
	}
	if err != nil {
		return journalEntry{}, errors.Wrapf(err, "authority: read journal of engine %s", engineID)
	}
	return decodeRecord(entry)
}

// write replaces an entry by compare-and-swap. After an ambiguous write it reads the entry back. If that does not show
// the record, the write may still take effect later, which leaves an entry that the next reconciliation resolves.
func (j journal) write(ctx context.Context, old journalEntry, record Record) (journalEntry, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return old, errors.Wrapf(err, "authority: encode journal entry of engine %s", record.Engine)
	}
	put, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := j.store.Put(put, journalKey(record.Engine), value, old.revision, 0)
	if err == nil {
		return journalEntry{Record: record, revision: revision}, nil
	}
	if errors.IsAny(err, topo.ErrConflict, topo.ErrUnavailable, topo.ErrRateLimited) {
		return old, errors.Wrapf(err, "authority: write journal of engine %s", record.Engine)
	}
	get, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, readErr := j.store.Get(get, journalKey(record.Engine))
	if readErr != nil || !bytes.Equal(entry.Value, value) {
		return old, errors.Wrapf(err, "authority: write journal of engine %s", record.Engine)
	}
	return journalEntry{Record: record, revision: entry.Revision}, nil
}

// list returns the entries of all engines that have one.
func (j journal) list(ctx context.Context) ([]journalEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := j.store.List(ctx, "journal/")
	if err != nil {
		return nil, errors.Wrap(err, "authority: list journal")
	}
	var decoded []journalEntry
	for _, entry := range entries {
		record, err := decodeRecord(entry)
		if err != nil {
			return nil, err
		}
		decoded = append(decoded, record)
	}
	return decoded, nil
}
