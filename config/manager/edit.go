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
	minEditRetryDelay = 50 * time.Millisecond
	maxEditRetryDelay = 1 * time.Second
)

// Edit is a request to replace the content of one section.
type Edit struct {
	// ID identifies the edit. Submitting it again with the same content returns the outcome of the first submission. An
	// edit without an ID gets a new one. An ID must never be used for another edit.
	ID string
	// Since is a version that the document had when the ID was generated, or 0 if none is known. The outcome can only be
	// determined while the last 256 edits reach back to the higher one of Since and Base.
	Since   int64
	Section string
	// Base is the version of the document on which the edit is based.
	Base    int64
	Content []byte
}

// Result identifies an accepted edit and the version that it created.
type Result struct {
	ID      string
	Version int64
}

// Edit applies an edit and puts the result in force on this instance. If the edit is refused, it returns ErrConflict,
// ErrIDReused, config.ErrInvalid or config.ErrUnknownSection. It retries after other failures until the context ends,
// and then returns ErrUnavailable if the edit was certainly not applied, or ErrOutcomeUnknown. It also returns
// ErrUnavailable if this instance has no store, and ErrOutcomeUnknown if the history does not reach back far enough.
func (m *Manager) Edit(ctx context.Context, e Edit) (Result, error) {
	a := &attempt{manager: m, edit: e, since: max(e.Base, e.Since), retryDelay: minEditRetryDelay}
	if e.ID == "" {
		a.edit.ID, a.idGenerated = uuid.NewString(), true
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

// attempt is one call of Edit or Seed.
type attempt struct {
	manager *Manager
	edit    Edit
	since   int64
	// idGenerated is set if this call generated the edit's ID, so that no earlier call can have written the edit.
	idGenerated bool
	// storeRead is set once the record has been read.
	storeRead bool
	// writePending is set while a write of this call may still take effect; pendingRevision is the highest revision that
	// such a write expects.
	writePending    bool
	pendingRevision int64
	retryDelay      time.Duration
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
		if !sleep.For(ctx, jitter(a.retryDelay)) {
			return 0, a.timeoutError(err)
		}
		a.retryDelay = min(2*a.retryDelay, maxEditRetryDelay)
	}
}

// step reads the record, and then either ends the edit or writes the changed record. A write of unknown outcome is
// resolved by the next step, which either finds the edit's ID or writes again: the delayed write then fails, because
// the revision has changed.
func (a *attempt) step(ctx context.Context) (version int64, done bool, err error) {
	revision, current, err := a.manager.fetchRecord(ctx)
	if err != nil {
		return 0, false, err
	}
	if !a.storeRead && a.idGenerated {
		a.since = current.Raw.Version
	}
	a.storeRead = true
	if applied, found := current.findEdit(a.edit.ID); found {
		return a.resolveApplied(applied)
	}
	if !current.coversEditsSince(a.since) {
		reason := errors.Newf("the history of edits does not reach back to version %d", a.since)
		return 0, true, &OutcomeUnknownError{ID: a.edit.ID, Since: a.since, Reason: reason}
	}
	if a.writePending && revision > a.pendingRevision {
		a.writePending = false
	}
	next, err := a.apply(current)
	if err != nil {
		return 0, true, err
	}
	return a.write(ctx, revision, next)
}

// resolveApplied returns the outcome of an edit whose ID is in the history.
func (a *attempt) resolveApplied(applied appliedEdit) (int64, bool, error) {
	if applied.Section != a.edit.Section || applied.Hash != contentHash(a.edit.Content) {
		return 0, true, ErrIDReused
	}
	return applied.Version, true, nil
}

// apply returns the record after the edit, or the reason why the edit is refused.
func (a *attempt) apply(current *record) (*record, error) {
	e := a.edit
	if changed := current.Changed[e.Section]; changed > e.Base || e.Base > current.Raw.Version {
		return nil, &ConflictError{Section: e.Section, Base: e.Base, Changed: changed, Current: current.Raw.Version}
	}
	raw, _, err := current.Raw.Replace(e.Section, e.Content)
	if err != nil {
		return nil, err
	}
	return current.withEdit(raw, e.ID, e.Section, contentHash(e.Content)), nil
}

// write writes the next record if the store still has the given revision. It returns the version that the write created
// and whether the edit has ended; otherwise it has to be retried.
func (a *attempt) write(ctx context.Context, revision int64, next *record) (int64, bool, error) {
	value := next.encode()
	if len(value) > topo.MaxValueBytes {
		return 0, true, errTooLarge(a.edit.Section, len(value))
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := a.manager.opts.Store.Put(callCtx, StoreKey, value, revision, 0)
	switch {
	case err == nil:
		if s, err := newState(value, written); err == nil {
			a.manager.advance(s, "edit")
		}
		return next.Raw.Version, true, nil
	case errors.Is(err, topo.ErrTooLarge):
		return 0, true, errTooLarge(a.edit.Section, len(value))
	case errors.Is(err, topo.ErrAmbiguous):
		a.writePending, a.pendingRevision = true, max(a.pendingRevision, revision)
	}
	return 0, false, err
}

// timeoutError returns the error of an edit whose context has ended.
func (a *attempt) timeoutError(reason error) error {
	// A write of an earlier call with the same ID may still take effect.
	if a.writePending || !a.idGenerated {
		return &OutcomeUnknownError{ID: a.edit.ID, Since: a.since, Reason: reason}
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, reason)
}

// fetchRecord reads the record and its revision from the store; an absent record is empty, with revision 0. It fails if
// the store holds an older version than the one in force.
func (m *Manager) fetchRecord(ctx context.Context) (int64, *record, error) {
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
	if version := m.Version(); current.Raw.Version < version {
		m.reportIfBehind(e.Revision, current.Raw.Version)
		return 0, nil, errors.Newf("store holds version %d, but version %d is in force", current.Raw.Version, version)
	}
	return e.Revision, current, nil
}

// errTooLarge returns the error of an edit whose record exceeds the store's limit for a value.
func errTooLarge(section string, size int) error {
	return &config.InvalidError{Faults: []config.Fault{{Section: section, Fault: strict.Fault{
		Path: section, Value: fmt.Sprintf("a document of %d bytes compressed", size),
		Allowed: fmt.Sprintf("a document of at most %d bytes compressed", topo.MaxValueBytes),
	}}}}
}

// contentHash returns a digest by which the contents of two edits are compared, ignoring white space.
func contentHash(content []byte) string {
	var compact bytes.Buffer
	if json.Compact(&compact, content) != nil {
		compact.Reset()
		compact.Write(content)
	}
	sum := sha256.Sum256(compact.Bytes())
	return hex.EncodeToString(sum[:8])
}
