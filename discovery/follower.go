// Package discovery keeps the routes and the replicas of an instance up to date with the platform's store, through lost
// histories, silent connections and outages.
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
	// watchWait is the longest wait of a watch. A connection that went silent is noticed at its end, so it is well below
	// the times within which a change must be in force.
	watchWait = 2500 * time.Millisecond
	// batchPause follows each change before the next watch. Changes come in groups, and each of them would cost every
	// instance a call. It is well below the times within which a change must be in force.
	batchPause = 250 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed call. All instances may fail at the same time, and the store
	// counts refused calls.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
)

// follower follows the keys of a store.
type follower struct {
	store  topo.Store
	logger *slog.Logger
	// replace takes all entries, change one of them; a deleted one has a nil Value.
	replace func(now time.Time, entries []topo.Entry)
	change  func(now time.Time, entry topo.Entry)
	// contact is called after each call with whether the store answered.
	contact func(now time.Time, ok bool)
}

// run follows until the context ends.
func (f *follower) run(ctx context.Context) {
	pause := minRetry
	lost := time.Time{}
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
			if !lost.IsZero() {
				eventRegained.Log(ctx, f.logger, slog.Duration("after", now.Sub(lost)))
			}
			lost = time.Time{}
			if !watched {
				continue
			}
			if revision >= 0 {
				pause = minRetry
				continue
			}
			// The history is lost: everything is read again, with a growing pause if that happens again and again.
			if pause > minRetry {
				sleep.For(ctx, pause)
			}
			pause = min(maxRetry, 2*pause)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if lost.IsZero() {
			lost = now
			eventLost.Log(ctx, f.logger, slog.String("error", err.Error()))
		}
		f.contact(now, false)
		sleep.For(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
		pause = min(maxRetry, 2*pause)
	}
}

// list reads all entries and returns the revision to follow from, or -1.
func (f *follower) list(ctx context.Context) (int64, error) {
	entries, revision, err := f.store.List(ctx, allKeys)
	if err != nil {
		return -1, err
	}
	now := time.Now()
	f.contact(now, true)
	f.replace(now, entries)
	return revision, nil
}

// watch waits for changes and returns the revision to go on from, or -1 when the history is lost.
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
	f.contact(now, true)
	for _, entry := range entries {
		f.change(now, entry)
	}
	if len(entries) > 0 {
		sleep.For(ctx, batchPause)
	}
	return next, nil
}
