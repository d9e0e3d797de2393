package manager

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"rhubarbpoint/config"
	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/internal/strict"
	"rhubarbpoint/topo"
)

const (
	minEditRetry = 50 * time.Millisecond
	maxEditRetry = 1 * time.Second
)

// Edit replaces one section.
type Edit struct {
	// ID names the edit. Given again with the same content, it ends with the outcome of the first time. An edit
	// without an ID gets a new one. An ID must never be used for another edit.
	ID string
	// Since is a version that the document had when the ID was made, or 0 if none is known. The last 256 edits have to
	// reach back to it, or to Base, for the outcome to be known.
	Since   int64
	Section string
	// Base is the version of the document that the editor has seen.
	Base    int64
	Content []byte
}

// Result is an accepted edit.
type Result struct {
	ID      string
	Version int64
}

// Edit applies an edit and puts the result in force on this instance. It returns ErrConflict, ErrIDReused,
// config.ErrInvalid or config.ErrUnknownSection when the edit was refused, and retries everything else until the context
// ends: then ErrUnavailable if the edit was certainly not applied, else ErrUnknown.
func (m *Manager) Edit(ctx context.Context, e Edit) (Result, error) {
	a := &attempt{manager: m, edit: e, since: max(e.Base, e.Since), retry: minEditRetry}
	if e.ID == "" {
		a.edit.ID, a.fresh = uuid.NewString(), true
	}
	version, err := a.run(ctx)
	result := Result{ID: a.edit.ID, Version: version}
	attrs := []slog.Attr{slog.String("edit", result.ID), slog.String("section", e.Section)}
	switch {
	case err == nil:
		m.count("config.edits.accepted")
		eventEditAccepted.Log(ctx, m.opts.Logger, append(attrs, slog.Int64("version", version))...)
	case errors.Is(err, ErrOutcomeUnknown):
		m.count("config.edits.unknown")
		eventEditUnknown.Log(ctx, m.opts.Logger, append(attrs, slog.String("error", err.Error()))...)
	default:
		m.count("config.edits.refused")
		eventEditRefused.Log(ctx, m.opts.Logger, append(attrs, slog.String("error", err.Error()))...)
	}
	return result, err
}

// attempt is one call of Edit.
type attempt struct {
	manager *Manager
	edit    Edit
	since   int64
	// fresh is set when no earlier call can have written the edit.
	fresh bool
	// started is set once the store was read.
	started bool
	// pending is set while a write of this call may still take effect; pendingAt is the revision that it expects.
	pending   bool
	pendingAt int64
	retry     time.Duration
}

func (a *attempt) run(ctx context.Context) (int64, error) {
	if a.manager.opts.Store == nil {
		return 0, fmt.Errorf("%w: this instance has no platform", ErrUnavailable)
	}
	if !config.IsSection(a.edit.Section) {
		return 0, config.ErrUnknownSection
	}
	for {
		version, done, err := a.step(ctx)
		if done {
			return version, err
		}
		if !sleep.For(ctx, jitter(a.retry)) {
			return 0, a.giveUp(err)
		}
		a.retry = min(2*a.retry, maxEditRetry)
	}
}

// step reads the document and decides, or writes. A write of unknown outcome is resolved by the next step, which either
// finds the ID or writes again: the delayed write then fails, because the revision has moved.
func (a *attempt) step(ctx context.Context) (version int64, done bool, err error) {
	revision, current, err := a.manager.fetch(ctx)
	if err != nil {
		return 0, false, err
	}
	if !a.started && a.fresh {
		a.since = current.Source.Version
	}
	a.started = true
	if applied, found := current.find(a.edit.ID); found {
		return a.recognise(applied)
	}
	if !current.namesAllSince(a.since) {
		reason := errors.Newf("the history of edits does not reach back to version %d", a.since)
		return 0, true, &OutcomeUnknownError{ID: a.edit.ID, Since: a.since, Reason: reason}
	}
	if a.pending && revision > a.pendingAt {
		a.pending = false
	}
	next, err := a.apply(current)
	if err != nil {
		return 0, true, err
	}
	return a.write(ctx, revision, next)
}

// recognise ends an edit that the history names.
func (a *attempt) recognise(applied appliedEdit) (int64, bool, error) {
	if applied.Section != a.edit.Section || applied.Hash != hash(a.edit.Content) {
		return 0, true, ErrIDReused
	}
	return applied.Version, true, nil
}

// apply returns the record after the edit, or why it is refused.
func (a *attempt) apply(current *record) (*record, error) {
	e := a.edit
	if changed := current.Changed[e.Section]; changed > e.Base || e.Base > current.Source.Version {
		return nil, &ConflictError{Section: e.Section, Base: e.Base, Changed: changed, Current: current.Source.Version}
	}
	source, _, err := current.Source.Replace(e.Section, e.Content)
	if err != nil {
		return nil, err
	}
	return current.with(source, e.ID, e.Section, hash(e.Content)), nil
}

func (a *attempt) write(ctx context.Context, revision int64, next *record) (int64, bool, error) {
	value := next.encode()
	if len(value) > topo.MaxValueBytes {
		return 0, true, tooLarge(a.edit.Section, len(value))
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := a.manager.opts.Store.Put(callCtx, StoreKey, value, revision, 0)
	switch {
	case err == nil:
		if s, err := newState(value, written); err == nil {
			a.manager.accept(s, "edit")
		}
		return next.Source.Version, true, nil
	case errors.Is(err, topo.ErrTooLarge):
		return 0, true, tooLarge(a.edit.Section, len(value))
	case errors.Is(err, topo.ErrAmbiguous):
		a.pending, a.pendingAt = true, max(a.pendingAt, revision)
	}
	return 0, false, err
}

// giveUp ends an edit whose time is over.
func (a *attempt) giveUp(reason error) error {
	// A write of an earlier call with the same ID may still take effect.
	if a.pending || !a.fresh {
		return &OutcomeUnknownError{ID: a.edit.ID, Since: a.since, Reason: reason}
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, reason)
}

// fetch reads the record; an absent one is empty, with revision 0.
func (m *Manager) fetch(ctx context.Context) (int64, *record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := m.opts.Store.Get(ctx, StoreKey)
	current := &record{}
	switch {
	case errors.Is(err, topo.ErrNotFound):
	case err != nil:
		return 0, nil, err
	default:
		if current, err = decodeRecord(e.Value); err != nil {
			return 0, nil, err
		}
	}
	if version := m.Version(); current.Source.Version < version {
		m.noteBehind(e.Revision, current.Source.Version)
		return 0, nil, errors.Newf("store holds version %d, but version %d is in force", current.Source.Version, version)
	}
	return e.Revision, current, nil
}

func tooLarge(section string, size int) error {
	return &config.InvalidError{Faults: []config.Fault{{Section: section, Fault: strict.Fault{
		Path: section, Value: fmt.Sprintf("a document of %d bytes compressed", size),
		Allowed: fmt.Sprintf("a document of at most %d bytes compressed", topo.MaxValueBytes),
	}}}}
}

// hash tells the contents of two edits apart; white space does not count.
func hash(content []byte) string {
	var compact bytes.Buffer
	if json.Compact(&compact, content) != nil {
		compact.Reset()
		compact.Write(content)
	}
	sum := sha256.Sum256(compact.Bytes())
	return hex.EncodeToString(sum[:8])
}
