package discovery

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/boottime"
	"rhubarbpoint/topo"
)

const (
	// maxFeedEntries bounds the changes that are kept for peers: more than change while a peer moves to another source.
	maxFeedEntries = 512
	// maxFeedBytes bounds the keys and values of these changes together. It is a small part of the memory of an instance
	// and more than the routes and replicas of a large fleet take.
	maxFeedBytes = 8 << 20
	// maxPassedBytes bounds the keys and values that are passed on at once, unless a single value is larger, so that they
	// fit into one message to a peer. The peer asks for the others next.
	maxPassedBytes = topo.MaxValueBytes
)

// ErrNotFollowing means that an instance has no changes to pass on: it does not follow the store, the store does not
// respond to it, or the changes asked for are too old.
var ErrNotFollowing = errors.New("discovery: changes of the store not available here")

// feed keeps the latest changes of the store for peers. It is safe for concurrent use.
type feed struct {
	mu sync.Mutex
	// entries are the changes after revision floor, up to revision, in order of their revisions. Only the last change of
	// each key is kept: values are not deltas, so a peer does not need the ones before it. bytes is their size.
	entries         []topo.Entry
	bytes           int
	floor, revision int64
	// confirmedAt is when the store last responded to this instance itself.
	confirmedAt time.Time
	// storeConfirmed is the latest moment at which the store certainly still had what the feed holds, or nil.
	storeConfirmed *boottime.Instant
	// lost is set while calls of this instance to the store fail.
	lost bool
	// changed is closed and replaced when the feed changes.
	changed chan struct{}
}

func newFeed() *feed { return &feed{changed: make(chan struct{})} }

// restart forgets the changes up to a revision at which all entries were read.
func (f *feed) restart(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries, f.bytes, f.floor, f.revision = nil, 0, revision, revision
	f.notify()
}

// add appends the changes up to a revision. Without changes for peers, they learn of the revision with their next call.
func (f *feed) add(entries []topo.Entry, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, entry := range entries {
		f.put(entry)
	}
	excess := 0
	for ; len(f.entries)-excess > maxFeedEntries || f.bytes > maxFeedBytes; excess++ {
		f.floor = f.entries[excess].Revision
		f.bytes -= entrySize(&f.entries[excess])
	}
	f.entries = slices.Delete(f.entries, 0, excess)
	if revision > f.revision {
		f.revision = revision
		if len(entries) > 0 {
			f.notify()
		}
	}
}

// put appends a change and removes an earlier one of the same key.
func (f *feed) put(entry topo.Entry) {
	if i := slices.IndexFunc(f.entries, func(e topo.Entry) bool { return e.Key == entry.Key }); i >= 0 {
		f.bytes -= entrySize(&f.entries[i])
		f.entries = slices.Delete(f.entries, i, i+1)
	}
	f.entries = append(f.entries, entry)
	f.bytes += entrySize(&entry)
}

func entrySize(entry *topo.Entry) int { return len(entry.Key) + len(entry.Value) }

// confirm records that the store responded to this instance itself.
func (f *feed) confirm(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt, f.lost = now, false
}

// confirmStore records a moment at which the store certainly still had what the feed holds, and wakes the peers that need
// it. The changes up to that moment must have been added before.
func (f *feed) confirmStore(at boottime.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeConfirmed == nil || at > *f.storeConfirmed {
		f.storeConfirmed = &at
		f.notify()
	}
}

// lose records that calls to the store fail, so that peers ask another source at once.
func (f *feed) lose() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lost {
		f.lost = true
		f.notify()
	}
}

func (f *feed) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// wait returns the changes that are asked for as soon as there are any, or a newer confirmation if one is needed, or
// none when the wait is over. It returns ErrNotFollowing if the feed cannot vouch for them. The call was received at the
// given moment.
func (f *feed) wait(ctx context.Context, received boottime.Instant, ask Ask) (*Changes, error) {
	end := time.Now().Add(ask.Wait)
	known := received.Add(confirmSlack - ask.KnownAge)
	for {
		now := time.Now()
		changes, changed, confirmed, err := f.since(now, ask.After)
		if err != nil {
			return nil, err
		}
		if ask.KnownAge > 0 && confirmed != nil {
			offset := confirmed.Sub(received)
			changes.Confirmed = &offset
		}
		if !now.Before(end) || changes.Revision > ask.After || changes.Confirmed != nil && *confirmed > known {
			return changes, nil
		}
		timeout := time.NewTimer(min(end.Sub(now), maxRelayAge-changes.Age+time.Millisecond))
		select {
		case <-changed:
		case <-timeout.C:
		case <-ctx.Done():
		}
		timeout.Stop()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// since returns the changes after a revision, or the first ones of many, and the channel that is closed when there are
// others. It also returns the newest confirmation by the store that covers them, or nil; the first ones of many have none.
func (f *feed) since(now time.Time, after int64) (*Changes, <-chan struct{}, *boottime.Instant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := now.Sub(f.confirmedAt)
	if f.lost || f.confirmedAt.IsZero() || age > maxRelayAge || after < f.floor {
		return nil, nil, nil, ErrNotFollowing
	}
	// The caller may know more, from a source that is ahead of this one.
	changes := &Changes{Revision: max(after, f.revision), Age: age}
	size, confirmed := 0, f.storeConfirmed
	for _, entry := range f.entries {
		if entry.Revision <= after {
			continue
		}
		size += entrySize(&entry)
		if passed := len(changes.Entries); size > maxPassedBytes && passed > 0 && changes.Entries[passed-1].Revision < entry.Revision {
			changes.Revision, confirmed = changes.Entries[passed-1].Revision, nil
			break
		}
		changes.Entries = append(changes.Entries, entry)
	}
	return changes, f.changed, confirmed, nil
}
