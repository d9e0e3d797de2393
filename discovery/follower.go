// Package discovery keeps the routes and replicas of an instance up to date with the platform's store. It handles
// compacted history, connections that stop carrying data and store outages.
package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/topo"
)

// allKeys is the prefix of every key.
const allKeys = ""

const (
	// watchWait is the longest wait of one watch. A connection that stopped carrying data is only noticed at the end of
	// the watch, so it is well below the time within which a change must be in force.
	watchWait = 2500 * time.Millisecond
	// batchPause is the pause between a change and the next watch. Changes come in groups, and without the pause each
	// change would cost every instance a call. It is well below the time within which a change must be in force.
	batchPause = 250 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed call. All instances may fail at the same time, and the store
	// also counts the calls that it refuses.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
)

// follower reads and watches the keys of a store.
type follower struct {
	store  topo.Store
	logger *slog.Logger
	// onList is called with all entries, onChange with each changed entry. A deleted entry has a nil Value.
	onList   func(now time.Time, entries []topo.Entry)
	onChange func(now time.Time, entry topo.Entry)
	// onContact is called after each call, except one that finds the history compacted. ok reports whether the store
	// responded.
	onContact func(now time.Time, ok bool)
}

// run follows the store until the context ends.
func (f *follower) run(ctx context.Context) {
	pause := minRetry
	lostSince := time.Time{}
	revision := int64(-1)
	for ctx.Err() == nil {
		var err error
		watched := revision >= 0
		if watched {
			revision, err = f.watch(ctx, revision)
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
			// The history is compacted, so all entries are read again. The pause grows if this happens repeatedly.
			if pause > minRetry {
				sleep.For(ctx, pause)
			}
			pause = min(maxRetry, 2*pause)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if lostSince.IsZero() {
			lostSince = now
			eventStoreLost.Log(ctx, f.logger, slog.String("error", err.Error()))
		}
		f.onContact(now, false)
		sleep.For(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
		pause = min(maxRetry, 2*pause)
	}
}

// list reads all entries and returns the revision to watch from, or -1 after an error.
func (f *follower) list(ctx context.Context) (int64, error) {
	entries, revision, err := f.store.List(ctx, allKeys)
	if err != nil {
		return -1, err
	}
	now := time.Now()
	f.onContact(now, true)
	f.onList(now, entries)
	return revision, nil
}

// watch waits for changes and returns the revision to continue from, or -1 if the history has been compacted.
func (f *follower) watch(ctx context.Context, revision int64) (int64, error) {
	entries, next, err := f.store.Watch(ctx, allKeys, revision, watchWait)
	if errors.Is(err, topo.ErrCompacted) {
		eventHistoryLost.Log(ctx, f.logger, slog.Int64("revision", revision))
		return -1, nil
	}
	if err != nil {
		return revision, err
	}
	now := time.Now()
	f.onContact(now, true)
	for _, entry := range entries {
		f.onChange(now, entry)
	}
	if len(entries) > 0 {
		sleep.For(ctx, batchPause)
	}
	return next, nil
}
