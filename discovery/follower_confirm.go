package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"rhubarbpoint/topo"
)

// maxSourceAge is the age of the newest confirmation from which an instance asks the store itself although its sources
// respond, because they confirm nothing, as those of an older build. Sources that confirm keep the age below watchWait and
// the pause after changes together.
const maxSourceAge = watchWait + 500*time.Millisecond

// forPeers returns entries as peers may get them, without those of deferred keys.
func (f *follower) forPeers(entries []topo.Entry) []topo.Entry {
	if f.peerValue == nil && f.deferred == nil {
		return entries
	}
	passed := make([]topo.Entry, 0, len(entries))
	for _, entry := range entries {
		if f.deferred != nil && f.deferred(entry.Key) {
			continue
		}
		if f.peerValue != nil && entry.Value != nil {
			entry.Value = f.peerValue(entry.Key, entry.Value)
		}
		passed = append(passed, entry)
	}
	return passed
}

// refreshDue reports whether the sources have confirmed nothing for too long and the store may be asked.
func (f *follower) refreshDue(now time.Time) bool {
	return f.confirmations != nil && f.confirmations.provenAge(f.confirmations.now()) > maxSourceAge && !now.Before(f.nextRefresh)
}

// refresh asks the store for changes, and with it for a confirmation. A failure is not one of the instance: its source
// has just responded.
func (f *follower) refresh(ctx context.Context, source string, revision int64) (int64, error) {
	f.nextRefresh = time.Now().Add(directRetry/2 + rand.N(directRetry/2))
	next, err := f.catchUp(ctx, source, revision)
	if err != nil {
		f.unreached = false
		return revision, nil
	}
	return next, nil
}

// watchOrAskOthers waits for changes of the store. While the calls to the store fail, it asks the other instances of the
// zone that follow the store, because the store may turn away only this instance. It does so only where confirmations are
// needed.
func (f *follower) watchOrAskOthers(ctx context.Context, revision int64) (int64, error) {
	if f.confirmations == nil {
		return f.watch(ctx, revision)
	}
	// A store that does not respond is asked without a wait, so that the others are not asked too late.
	f.unreached = f.unreached || !f.nextDirect.IsZero()
	var err error
	if !time.Now().Before(f.nextDirect) {
		var next int64
		if next, err = f.watch(ctx, revision); err == nil || ctx.Err() != nil {
			f.nextDirect = time.Time{}
			return next, err
		}
		f.nextDirect = time.Now().Add(directRetry/2 + rand.N(directRetry/2))
	}
	for _, other := range f.health.usable(time.Now(), f.relay.Others()) {
		next, otherErr := f.relayed(ctx, other, revision)
		if otherErr != nil {
			continue
		}
		if err != nil {
			eventAskedOther.Log(ctx, f.logger, slog.String("source", other), slog.Int64("revision", revision), slog.String("error", err.Error()))
		}
		return next, nil
	}
	if err == nil {
		f.nextDirect = time.Time{} // nobody responds, so the store is asked at once
		return f.watch(ctx, revision)
	}
	return revision, err
}
