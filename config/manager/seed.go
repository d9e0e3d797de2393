package manager

import (
	"context"
	"crypto/sha256"
	"fmt"

	"github.com/google/uuid"

	"rhubarbpoint/config"
	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/topo"
)

// Seed writes the first document, as version 1, to a store that holds none. Seeding the same document again succeeds.
// It returns config.ErrInvalid, ErrExists, ErrUnavailable if this instance has no store, or ErrOutcomeUnknown if the
// context ends first.
func (m *Manager) Seed(ctx context.Context, data []byte) error {
	if m.opts.Store == nil {
		return fmt.Errorf("%w: this instance has no platform", ErrUnavailable)
	}
	if _, err := config.Decode(data); err != nil {
		return err
	}
	raw, err := config.ParseRawDocument(data)
	if err != nil {
		return err
	}
	// The ID is derived from the content, so that a second call with the same document finds the first one.
	sum := sha256.Sum256(data)
	id, _ := uuid.FromBytes(sum[:16])
	r := &record{Changed: make(map[string]int64)}
	r = r.withEdit(raw, id.String(), "", contentHash(data))
	for _, section := range config.Sections() {
		r.Changed[section] = r.Raw.Version
	}
	value := r.encode()
	if len(value) > topo.MaxValueBytes {
		return errTooLarge("", len(value))
	}
	a := &attempt{manager: m, edit: Edit{ID: id.String(), Content: data}, retryDelay: minEditRetryDelay}
	for {
		done, err := a.trySeed(ctx, r)
		if done {
			return err
		}
		if !sleep.For(ctx, jitter(a.retryDelay)) {
			return a.timeoutError(err)
		}
		a.retryDelay = min(2*a.retryDelay, maxEditRetryDelay)
	}
}

// trySeed writes the first record once. It returns false if the write has to be retried.
func (a *attempt) trySeed(ctx context.Context, r *record) (done bool, err error) {
	revision, current, err := a.manager.fetchRecord(ctx)
	if err != nil {
		return false, err
	}
	if _, found := current.findEdit(a.edit.ID); found {
		return true, nil
	}
	if revision != 0 {
		return true, fmt.Errorf("%w: version %d", ErrExists, current.Raw.Version)
	}
	_, done, err = a.write(ctx, 0, r)
	return done, err
}
