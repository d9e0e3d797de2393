// Package discovery keeps the routes and replicas of an instance up to date with the platform's store. It handles
// compacted history, connections that stop carrying data and store outages.
package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/boottime"
	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/topo"
)

// allKeys is the prefix of every key.
const allKeys = ""

const (
	// watchWait is the longest wait of one watch. A connection that stopped carrying data is only noticed at the end of
	// the watch, so it is well below the time within which a change must be in force.
	watchWait = 1500 * time.Millisecond
	// batchPause is the pause between a change and the next watch. Changes come in groups, and without the pause each
	// change would cost every instance a call. It is well below the time within which a change must be in force.
	batchPause = 250 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed call. All instances may fail at the same time, and the store
	// also counts the calls that it refuses.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
)

const (
	// relayWait is the longest wait of one call to a source. It bounds how long a source that stopped goes unseen.
	relayWait = time.Second
	// relayGrace is how long after its wait a source may take to respond.
	relayGrace = 500 * time.Millisecond
	// maxRelayAge is the time since the store's last response after which a source passes nothing on. A watch without
	// changes responds after watchWait. Its sum with the time of a call to another source or to the store is below the
	// time within which a change must be in force.
	maxRelayAge = watchWait + 500*time.Millisecond
	// maxSourceDelay is how long the sources may keep an instance waiting without a response before it asks the store for
	// the changes that it may have missed. The sources may all have failed, and each of them can take relayWait and
	// relayGrace.
	maxSourceDelay = 500 * time.Millisecond
	// catchUpTimeout bounds the time of that call, after which the next source is asked. It also bounds the calls to
	// sources while neither they nor the store respond.
	catchUpTimeout = 500 * time.Millisecond
	// startTime is how long after its start an instance may not know the other members of its zone yet. All instances may
	// start at the same time and follow the store themselves until then, with a longer pause after changes.
	startTime  = 5 * time.Second
	startPause = time.Second
	// directRetry is the longest pause between the calls to the store of an instance whose sources all fail. The sources may
	// fail for all instances at the same time, and the store may be one that only turns some instances away.
	directRetry = time.Second
)

// errNoSource means that no source has changes to pass on, and that it is too early for a call to the store itself.
var errNoSource = errors.New("discovery: no source follows the store")

// follower reads and watches the keys of a store, itself or through a relay.
type follower struct {
	store topo.Store
	// relay is nil if the instance always follows the store itself.
	relay     Relay
	startedAt time.Time
	health    sourceHealth
	// nextDirect is the earliest time of the next call to the store while sources are known and all of them fail.
	nextDirect time.Time
	// unreached is set while neither the sources nor the store respond. Calls do not wait for changes then, so that the end
	// of a cut is noticed soon: what the store no longer lists stays in use for a while after it.
	unreached bool
	feed      *feed
	logger    *slog.Logger
	// peerValue returns a value as peers may get it.
	peerValue func(key string, value []byte) []byte
	// deferred reports whether nobody needs to know changes of a key at once; nil if there is no such key.
	deferred func(key string) bool
	// paused is the last pause after changes, if the next watch has not begun since.
	paused time.Duration
	// onList is called with all entries, onChange with each changed entry. A deleted entry has a nil Value.
	onList   func(now time.Time, entries []topo.Entry)
	onChange func(now time.Time, entry topo.Entry)
	// onContact is called after each call, except one after which all entries must be read. ok reports whether the store
	// responded.
	onContact func(now time.Time, ok bool)
	// onRestored is called when the store was restored from an older copy, before all entries are read again.
	onRestored func(now time.Time)
	// onKeepMissing is called when a source still keeps replicas that the store no longer lists.
	onKeepMissing func(until time.Time)
	// confirmations keeps the time of the newest confirmation by the store; nil if nobody needs it.
	confirmations *confirmations
	// nextRefresh is the earliest time of the next call to the store because sources confirm nothing.
	nextRefresh time.Time
}

// run follows the store until the context ends.
func (f *follower) run(ctx context.Context) {
	f.startedAt = time.Now()
	pause := minRetry
	lostSince := time.Time{}
	revision := int64(-1)
	for ctx.Err() == nil {
		var err error
		started := time.Now()
		watched := revision >= 0
		if watched {
			revision, err = f.next(ctx, revision)
		} else {
			revision, err = f.list(ctx)
		}
		now := time.Now()
		if err == nil {
			if !lostSince.IsZero() {
				eventStoreRegained.Log(ctx, f.logger, slog.Duration("after", now.Sub(lostSince)))
			}
			lostSince = time.Time{}
			if !watched {
				continue
			}
			if revision >= 0 {
				pause = minRetry
				continue
			}
			// The changes cannot be watched, so all entries are read again. The pause grows if this happens repeatedly.
			if pause > minRetry {
				sleep.For(ctx, pause)
			}
			pause = min(maxRetry, 2*pause)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errNoSource) {
			sleep.For(ctx, minRetry)
			continue
		}
		if lostSince.IsZero() {
			lostSince = now
			eventStoreLost.Log(ctx, f.logger, slog.String("error", err.Error()))
		}
		f.onContact(now, false)
		// The time that the call took counts as a pause.
		sleep.For(ctx, max(minRetry/2, pause/2+rand.N(pause/2)-now.Sub(started)))
		pause = min(maxRetry, 2*pause)
	}
}

// list reads all entries and returns the revision to watch from, or -1 after an error.
func (f *follower) list(ctx context.Context) (int64, error) {
	sent := f.confirmations.now()
	entries, revision, err := f.store.List(ctx, allKeys)
	if err != nil {
		return -1, err
	}
	now := time.Now()
	f.onContact(now, true)
	f.onList(now, entries)
	f.feed.restart(revision)
	f.feed.confirm(now)
	f.confirmations.confirmOwn(f.feed, sent)
	return revision, nil
}

// next waits for changes from a source or, if this instance has none that works, from the store.
func (f *follower) next(ctx context.Context, revision int64) (int64, error) {
	if f.relay == nil {
		return f.watch(ctx, revision)
	}
	sources := f.relay.Sources()
	if len(sources) == 0 {
		return f.watchOrAskOthers(ctx, revision)
	}
	for _, source := range f.health.usable(time.Now(), sources) {
		asked := time.Now()
		next, err := f.relayed(ctx, source, revision)
		if err == nil || ctx.Err() != nil {
			f.nextDirect = time.Time{}
			if err == nil && f.refreshDue(time.Now()) {
				return f.refresh(ctx, source, next)
			}
			return next, err
		}
		if time.Since(asked) >= maxSourceDelay {
			if next, err := f.catchUp(ctx, source, revision); err == nil {
				return next, nil
			}
		}
	}
	// Soon after the start, the sources may not follow the store yet, or may be the wrong ones.
	if now := time.Now(); now.Sub(f.startedAt) >= startTime {
		if now.Before(f.nextDirect) {
			return revision, errNoSource
		}
		f.nextDirect = now.Add(directRetry/2 + rand.N(directRetry/2))
	}
	next, err := f.watch(ctx, revision)
	if err != nil {
		// The sources have failed as well, so this is not the end of a single connection.
		f.onContact(time.Now(), false)
	}
	return next, err
}

// relayed waits for changes from a source. An instance that had no contact with the store does not pass them on.
func (f *follower) relayed(ctx context.Context, source string, revision int64) (int64, error) {
	wait, timeout := relayWait, relayWait+relayGrace
	if f.unreached {
		wait, timeout = 0, catchUpTimeout
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := f.confirmations.now()
	changes, err := f.relay.Changes(call, source, Ask{After: revision, Wait: wait, KnownAge: f.confirmations.knownAge(sent)})
	now, arrived := time.Now(), f.confirmations.now()
	if ctx.Err() == nil {
		f.health.record(now, source, err == nil)
	}
	if err != nil {
		eventSourceFailed.Log(ctx, f.logger, slog.String("source", source), slog.Int64("revision", revision), slog.String("error", err.Error()))
		return revision, err
	}
	f.unreached = false
	f.onContact(now, true)
	if changes.KeepMissing > 0 {
		f.onKeepMissing(now.Add(changes.KeepMissing))
	}
	f.applyEntries(now, changes.Entries, changes.Revision)
	if changes.Confirmed != nil {
		f.confirmations.confirm(min(sent.Add(*changes.Confirmed), arrived))
	}
	f.pauseAfter(ctx, now, changes.Entries)
	return max(revision, changes.Revision), nil
}

// applyEntries applies the changes up to a revision.
func (f *follower) applyEntries(now time.Time, entries []topo.Entry, revision int64) {
	for _, entry := range entries {
		f.onChange(now, entry)
	}
	f.feed.add(f.forPeers(entries), revision)
}

// onlyDeferred reports whether nobody needs to know any of the changes at once.
func (f *follower) onlyDeferred(entries []topo.Entry) bool {
	return f.deferred != nil && !slices.ContainsFunc(entries, func(entry topo.Entry) bool { return !f.deferred(entry.Key) })
}

// pauseAfter pauses after changes.
func (f *follower) pauseAfter(ctx context.Context, now time.Time, entries []topo.Entry) {
	switch {
	case len(entries) == 0:
	case f.relay != nil && now.Sub(f.startedAt) < startTime:
		sleep.For(ctx, startPause)
	case f.onlyDeferred(entries):
		var age time.Duration
		if f.confirmations != nil {
			age = f.confirmations.provenAge(f.confirmations.now())
		}
		f.paused = pauseAfterDeferred(age, rand.Float64())
		sleep.For(ctx, f.paused)
	default:
		sleep.For(ctx, batchPause)
	}
}

// catchUp reads the changes that the store has, without waiting for others, because a source has kept this instance
// waiting.
func (f *follower) catchUp(ctx context.Context, source string, revision int64) (int64, error) {
	call, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	asked, sent := time.Now(), f.confirmations.now()
	entries, next, err := f.store.Watch(call, allKeys, revision, 0)
	attrs := []slog.Attr{
		slog.String("source", source), slog.Int64("revision", revision), slog.Int("changes", len(entries)), slog.Duration("took", time.Since(asked)),
	}
	if err != nil {
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	eventCaughtUp.Log(ctx, f.logger, attrs...)
	return f.applyWatched(ctx, revision, entries, next, err, sent)
}

// watch waits for changes and returns the revision to continue from, or -1 if all entries must be read instead, because
// the history has been compacted, the store has been restored from a copy, or the changes are too large for a response.
func (f *follower) watch(ctx context.Context, revision int64) (int64, error) {
	wait := waitAfterPause(f.paused)
	f.paused = 0
	sent := f.confirmations.now()
	if f.unreached {
		wait = 0
	} else if f.confirmations != nil {
		wait = min(wait, confirmingWait(f.confirmations.provenAge(sent)))
	}
	entries, next, err := f.store.Watch(ctx, allKeys, revision, wait)
	confirmed := sent
	if err == nil {
		confirmed = confirmedByWatch(sent, f.confirmations.now(), wait, len(entries))
	}
	return f.applyWatched(ctx, revision, entries, next, err, confirmed)
}

// applyWatched applies the result of a watch after a revision, which confirms a moment.
func (f *follower) applyWatched(ctx context.Context, revision int64, entries []topo.Entry, next int64, err error, confirmed boottime.Instant) (int64, error) {
	switch {
	case errors.Is(err, topo.ErrCompacted):
		eventHistoryLost.Log(ctx, f.logger, slog.Int64("revision", revision))
		return -1, nil
	case errors.Is(err, topo.ErrRestored):
		eventStoreRestored.Log(ctx, f.logger, slog.Int64("era", topo.Era(revision)), slog.Int64("revision", revision))
		f.onRestored(time.Now())
		return -1, nil
	case errors.Is(err, topo.ErrTooManyChanges):
		eventTooManyChanges.Log(ctx, f.logger, slog.Int64("revision", revision))
		return -1, nil
	case err != nil:
		f.unreached = true
		return revision, err
	}
	f.unreached = false
	now := time.Now()
	f.onContact(now, true)
	f.feed.confirm(now)
	f.applyEntries(now, entries, next)
	f.confirmations.confirmOwn(f.feed, confirmed)
	f.pauseAfter(ctx, now, entries)
	return next, nil
}
