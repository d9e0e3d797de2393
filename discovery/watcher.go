package discovery

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbpoint/internal/boottime"
	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/topo"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// relistTime is how long after a store outage, or after the store was restored from a copy, a replica stays in use that the
// store no longer lists. Replicas whose entries expired or are not in the copy are listed again within two seconds.
const relistTime = 2200 * time.Millisecond

// Options configure a Watcher.
type Options struct {
	Store topo.Store
	// Relay, if not nil, reads changes through other instances.
	Relay    Relay
	Format   Format
	Replicas *upstream.Registry
	// OnDraining is called for a replica that the store lists as draining. It may be nil.
	OnDraining func(upstream.Replica)
	// OnReplica is called for a replica that is new or has changed, after it has been put into Replicas. It may be nil.
	OnReplica func(upstream.Replica)
	// OnOtherEntry is called for entries that are neither routes nor replicas, such as those by which instances share
	// data. It may be nil.
	OnOtherEntry func(now time.Time, entry topo.Entry)
	// Deferred reports whether nobody needs to know changes of a key at once, as for those that their only readers read
	// from the store. They cost fewer calls and are not passed on to peers. It may be nil.
	Deferred func(key string) bool
	// OnList is called with all entries of the store after they have been applied. Entries that it lacks were deleted. It may
	// be nil.
	OnList func(now time.Time, entries []topo.Entry)
	// Confirm keeps the age of the newest confirmation by the store for ConfirmedAge. It costs some calls to the store and
	// to sources.
	Confirm bool
	// Clock defaults to boottime.Now.
	Clock  boottime.Clock
	Logger *slog.Logger
}

// Watcher follows the store and keeps the routes and the registry of replicas up to date. It is safe for concurrent
// use.
type Watcher struct {
	opts  Options
	table atomic.Pointer[traffic.Table]
	feed  *feed
	// confirmations is nil unless Options.Confirm is set.
	confirmations *confirmations
	// heardAt is the boottime.Instant of the latest response by which the store, or a source that follows it, answered; 0
	// before the first one.
	heardAt atomic.Int64

	// applying serializes the changes; mu is taken while it is held.
	applying   sync.Mutex
	departures *departures

	mu sync.Mutex
	// failures counts the failed calls since the last response. Missing replicas are kept until keepMissingUntil.
	failures         int
	keepMissingUntil time.Time
	// listed is set once the store has been read.
	listed bool
	// known holds the values of the store, and generation counts their changes. encoded is the encoding of known at
	// encodedGeneration.
	known                         snapshot
	encoded                       []byte
	generation, encodedGeneration int
}

// New returns a watcher without routes.
func New(opts Options) *Watcher {
	if opts.Clock == nil {
		opts.Clock = boottime.Now
	}
	w := &Watcher{opts: opts, feed: newFeed(), departures: newDepartures(), known: snapshot{Replicas: make(map[string][]byte)}}
	if opts.Confirm {
		w.confirmations = &confirmations{clock: opts.Clock}
	}
	return w
}

// ConfirmedAge returns the time since the latest moment at which the store certainly still had the routes in force here.
// It returns false if the store has never confirmed them, or without Options.Confirm. A caller that judges by the routes
// must read the age first and Table after it: the routes are then at least as new as the age says.
func (w *Watcher) ConfirmedAge(now boottime.Instant) (time.Duration, bool) {
	if w.confirmations == nil {
		return 0, false
	}
	return w.confirmations.since(now)
}

// HeardAge returns the time since this instance last heard from the store, itself or through a source, or false if it never
// has. The calls that follow the store keep it below a few seconds; no call is made for it.
func (w *Watcher) HeardAge(now boottime.Instant) (time.Duration, bool) {
	at := w.heardAt.Load()
	return now.Sub(boottime.Instant(at)), at != 0
}

// InTouch reports whether this instance follows the store, itself or through a source: its last calls have not failed, and it
// has heard from the store lately. No call is made for it.
func (w *Watcher) InTouch(now boottime.Instant) bool {
	w.mu.Lock()
	lost := w.failures >= outageFailures
	w.mu.Unlock()
	age, heard := w.HeardAge(now)
	return heard && !lost && age < maxHeardAge
}

// Table returns the routes in force, or nil if none are in force yet.
func (w *Watcher) Table() *traffic.Table { return w.table.Load() }

// Run follows the store until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var running sync.WaitGroup
	// One watch covers all keys, because every call to the store is counted and has a cost.
	f := &follower{
		store: w.opts.Store, relay: w.opts.Relay, feed: w.feed, logger: w.opts.Logger,
		onList: w.applyList, onChange: w.applyChange, onContact: w.recordContact, onKeepMissing: w.extendKeepMissing,
		onRestored:    w.recordRestore,
		confirmations: w.confirmations, peerValue: w.opts.Format.PeerValue, deferred: w.opts.Deferred,
	}
	running.Go(func() { f.run(ctx) })
	running.Go(func() { w.dropMissingLoop(ctx) })
	running.Wait()
}

// Changes waits for changes, for a peer that follows the store through this instance. It returns ErrNotFollowing if this
// instance cannot vouch for them.
func (w *Watcher) Changes(ctx context.Context, ask Ask) (*Changes, error) {
	changes, err := w.feed.wait(ctx, w.opts.Clock(), ask)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	changes.KeepMissing = max(0, time.Until(w.keepMissingUntil))
	return changes, nil
}

// applyChange applies a change of one entry of the store.
func (w *Watcher) applyChange(now time.Time, entry topo.Entry) {
	w.applying.Lock()
	defer w.applying.Unlock()
	w.departures.changed(entry.Key)
	w.applyEntry(now, entry)
}

// applyEntry applies one entry of the store. The caller holds applying, as that of all methods it calls.
func (w *Watcher) applyEntry(now time.Time, entry topo.Entry) {
	switch {
	case entry.Key == w.opts.Format.TableKey:
		w.confirmations.setDiffers(!w.applyTable(entry))
	case strings.HasPrefix(entry.Key, w.opts.Format.ReplicaPrefix):
		w.applyReplica(now, entry)
	case w.opts.OnOtherEntry != nil:
		w.opts.OnOtherEntry(now, entry)
	}
}

// applyList applies all entries of the store and removes the replicas that are not among them.
func (w *Watcher) applyList(now time.Time, entries []topo.Entry) {
	w.applying.Lock()
	defer w.applying.Unlock()
	clear(w.departures.doubted)
	w.mu.Lock()
	w.listed = true
	clear(w.known.Replicas)
	w.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	hasTable := false
	for _, entry := range entries {
		listed[w.opts.Format.ReplicaID(entry.Key)] = true
		hasTable = hasTable || entry.Key == w.opts.Format.TableKey
		if !w.doubts(now, entry) {
			w.applyEntry(now, entry)
		}
	}
	if !hasTable {
		w.confirmations.setDiffers(true)
	}
	for _, id := range w.opts.Replicas.IDs() {
		if !listed[id] {
			w.removeReplica(now, id)
		}
	}
	if w.opts.OnList != nil {
		w.opts.OnList(now, entries)
	}
}

// applyTable puts routes in force if they are newer than those in force. It reports whether the version of the entry is
// in force now.
func (w *Watcher) applyTable(entry topo.Entry) bool {
	ctx := context.Background()
	if entry.Value == nil {
		return false
	}
	next, err := w.opts.Format.DecodeTable(entry.Value)
	if err != nil {
		eventTableRefused.Log(ctx, w.opts.Logger, slog.String("error", err.Error()), slog.Int64("revision", entry.Revision))
		return false
	}
	for {
		current := w.table.Load()
		if current != nil && next.Version <= current.Version {
			return next.Version == current.Version
		}
		if w.table.CompareAndSwap(current, next) {
			w.recordValue(entry)
			eventTableInForce.Log(ctx, w.opts.Logger, slog.Int64("version", next.Version),
				slog.Int("routes", len(next.Routes)), slog.Int64("revision", entry.Revision))
			return true
		}
	}
}

// maxHeardAge is the time after which an instance that has heard nothing does not count as in touch. A watch without changes
// responds after watchWait, and the pause before it takes at most startPause.
const maxHeardAge = watchWait + startPause + 500*time.Millisecond

// outageFailures is the number of consecutive failed calls that counts as a store outage. A single failure can be the
// end of one connection, during which entries do not expire.
const outageFailures = 2

// recordContact counts failed calls and, at the end of an outage, sets until when missing replicas are kept.
func (w *Watcher) recordContact(now time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !ok {
		if w.failures++; w.failures >= outageFailures {
			w.feed.lose()
		}
		return
	}
	if w.failures >= outageFailures {
		w.keepMissingUntil = now.Add(relistTime)
	}
	w.failures = 0
	w.heardAt.Store(int64(w.opts.Clock()))
}

// recordRestore prepares for the list of a store that was restored from a copy: replicas that are not in the copy are kept,
// and those that have left since are not used again.
func (w *Watcher) recordRestore(now time.Time) {
	w.extendKeepMissing(now.Add(relistTime))
	w.applying.Lock()
	defer w.applying.Unlock()
	w.departures.restored(now)
}

// doubts reports whether an entry of a list is the older one of a replica that has left, from a copy of the store.
func (w *Watcher) doubts(now time.Time, entry topo.Entry) bool {
	if !strings.HasPrefix(entry.Key, w.opts.Format.ReplicaPrefix) {
		return false
	}
	replica, err := w.opts.Format.DecodeReplica(entry.Key, entry.Value)
	if err != nil || !w.departures.doubts(now, entry, &replica) {
		return false
	}
	eventEntryDoubted.Log(context.Background(), w.opts.Logger, slog.String("upstream", replica.ID), slog.Int64("born", replica.Born),
		slog.Int64("revision", entry.Revision))
	return true
}

// believeDoubted applies the entries that were doubted and that the store still has.
func (w *Watcher) believeDoubted(now time.Time) {
	w.applying.Lock()
	defer w.applying.Unlock()
	for _, entry := range w.departures.believed(now) {
		w.applyEntry(now, entry)
	}
}

// extendKeepMissing keeps missing replicas until at least the given time.
func (w *Watcher) extendKeepMissing(until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until.After(w.keepMissingUntil) {
		w.keepMissingUntil = until
	}
}

// keepMissing reports whether the store's list may lack replicas that are alive.
func (w *Watcher) keepMissing(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failures >= outageFailures || now.Before(w.keepMissingUntil)
}

func (w *Watcher) applyReplica(now time.Time, entry topo.Entry) {
	id := w.opts.Format.ReplicaID(entry.Key)
	w.recordValue(entry)
	if entry.Value == nil {
		w.removeReplica(now, id)
		return
	}
	replica, err := w.opts.Format.DecodeReplica(entry.Key, entry.Value)
	if err != nil {
		eventReplicaUnreadable.Log(context.Background(), w.opts.Logger, slog.String("upstream", id),
			slog.String("error", err.Error()), slog.Int64("revision", entry.Revision))
		w.removeReplica(now, id)
		return
	}
	w.departures.record(now, replica.Incarnation(), replica.Draining)
	if replica.Draining && w.opts.OnDraining != nil {
		w.opts.OnDraining(replica)
	}
	if w.opts.Replicas.Put(replica) {
		if w.opts.OnReplica != nil {
			w.opts.OnReplica(replica)
		}
		eventReplicaChanged.Log(context.Background(), w.opts.Logger, slog.String("upstream", id),
			slog.String("service", replica.Service), slog.String("version", replica.Version), slog.String("stage", replica.Stage.String()),
			slog.Bool("draining", replica.Draining), slog.Int64("born", replica.Born), slog.Int64("revision", entry.Revision))
	}
}

func (w *Watcher) removeReplica(now time.Time, id string) {
	if incarnation, listed := w.opts.Replicas.Listed(id); listed {
		w.departures.record(now, incarnation, true)
	}
	if w.keepMissing(now) {
		w.opts.Replicas.MarkMissing(now, id)
		return
	}
	if w.opts.Replicas.Remove(id) {
		eventReplicaGone.Log(context.Background(), w.opts.Logger, slog.String("upstream", id))
	}
}

// dropMissingLoop drops the replicas that were kept through an outage and are still not listed after it, and uses those whose
// entries are not doubted any more.
func (w *Watcher) dropMissingLoop(ctx context.Context) {
	const interval = 100 * time.Millisecond
	for sleep.For(ctx, interval) {
		w.believeDoubted(time.Now())
		if w.keepMissing(time.Now()) {
			continue
		}
		for _, id := range w.opts.Replicas.DropMissing() {
			eventReplicaGone.Log(ctx, w.opts.Logger, slog.String("upstream", id))
		}
	}
}
