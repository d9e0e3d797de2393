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

// Seed writes the first document of a store that holds none, as version 1. It returns config.ErrInvalid or ErrExists, or
// ErrUnavailable without a store, or ErrUnknown when the context ends first.
func (m *Manager) Seed(ctx context.Context, data []byte) error {
	if m.opts.Store == nil {
		return fmt.Errorf("%w: this instance has no platform", ErrUnavailable)
	}
	if _, err := config.Decode(data); err != nil {
		return err
	}
	source, err := config.ParseRawDocument(data)
	if err != nil {
		return err
	}
	// The content decides the ID, so that the same document given again is recognised.
	sum := sha256.Sum256(data)
	id, _ := uuid.FromBytes(sum[:16])
	r := &record{Changed: make(map[string]int64)}
	r = r.with(source, id.String(), "", hash(data))
	for _, section := range config.Sections() {
		r.Changed[section] = r.Source.Version
	}
	value := r.encode()
	if len(value) > topo.MaxValueBytes {
		return tooLarge("", len(value))
	}
	a := &attempt{manager: m, edit: Edit{ID: id.String(), Content: data}, retry: minEditRetry}
	for {
		done, err := a.seed(ctx, r)
		if done {
			return err
		}
		if !sleep.For(ctx, jitter(a.retry)) {
			return a.giveUp(err)
		}
		a.retry = min(2*a.retry, maxEditRetry)
	}
}

func (a *attempt) seed(ctx context.Context, r *record) (done bool, err error) {
	revision, current, err := a.manager.fetch(ctx)
	if err != nil {
		return false, err
	}
	if _, found := current.find(a.edit.ID); found {
		return true, nil
	}
	if revision != 0 {
		return true, fmt.Errorf("%w: version %d", ErrExists, current.Source.Version)
	}
	_, done, err = a.write(ctx, 0, r)
	return done, err
}
