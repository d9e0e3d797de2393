package discovery

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/topo"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// returnTime is how long after an outage of the store a replica that it no longer lists is still used. Entries that
// lapsed during the outage are back within two seconds of its end.
const returnTime = 2200 * time.Millisecond

// Options are what a Service depends on.
type Options struct {
	Store    topo.Store
	Format   Format
	Replicas *upstream.Registry
	// OnDraining is told of a replica that the store lists as draining. It may be nil.
	OnDraining func(upstream.Replica)
	// OnOtherEntry takes entries that are neither routes nor replicas, such as those that instances share with one another. It may
	// be nil.
	OnOtherEntry func(now time.Time, entry topo.Entry)
	Logger       *slog.Logger
}

// Watcher follows the store. It is safe for concurrent use.
type Watcher struct {
	opts  Options
	table atomic.Pointer[traffic.Table]

	mu sync.Mutex
	// failures counts the failed calls since the last answer, holdUntil is until when missing replicas are kept.
	failures  int
	holdUntil time.Time
	// listed is set once the store has been read. raw holds its values; encoded is raw as of encodedFor changes.
	listed              bool
	raw                 snapshot
	encoded             []byte
	changes, encodedFor int
}

// New returns a service without routes.
func New(opts Options) *Watcher {
	return &Watcher{opts: opts, raw: snapshot{Replicas: make(map[string][]byte)}}
}

// Table returns the routes in force, or nil before the first ones.
func (s *Watcher) Table() *traffic.Table { return s.table.Load() }

// Run follows the store until the context ends.
func (s *Watcher) Run(ctx context.Context) {
	var running sync.WaitGroup
	// One watch serves all keys, because the store counts and prices calls.
	all := &follower{store: s.opts.Store, logger: s.opts.Logger, replace: s.replace, change: s.change, contact: s.noteContact}
	running.Go(func() { all.run(ctx) })
	running.Go(func() { s.dropLoop(ctx) })
	running.Wait()
}

// change takes one entry.
func (s *Watcher) change(now time.Time, entry topo.Entry) {
	switch {
	case entry.Key == s.opts.Format.TableKey:
		s.takeTable(entry)
	case strings.HasPrefix(entry.Key, s.opts.Format.ReplicaPrefix):
		s.takeReplica(now, entry)
	case s.opts.OnOtherEntry != nil:
		s.opts.OnOtherEntry(now, entry)
	}
}

// replace takes all entries. Replicas that are not among them are gone.
func (s *Watcher) replace(now time.Time, entries []topo.Entry) {
	s.mu.Lock()
	s.listed = true
	clear(s.raw.Replicas)
	s.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[s.opts.Format.ReplicaID(entry.Key)] = true
		s.change(now, entry)
	}
	for _, id := range s.opts.Replicas.IDs() {
		if !listed[id] {
			s.removeReplica(now, id)
		}
	}
}

// takeTable puts routes in force unless they are older than those in force.
func (s *Watcher) takeTable(entry topo.Entry) {
	ctx := context.Background()
	if entry.Value == nil {
		return
	}
	next, err := s.opts.Format.DecodeTable(entry.Value)
	if err != nil {
		eventTableRefused.Log(ctx, s.opts.Logger, slog.String("error", err.Error()), slog.Int64("revision", entry.Revision))
		return
	}
	for {
		current := s.table.Load()
		if current != nil && next.Version <= current.Version {
			return
		}
		if s.table.CompareAndSwap(current, next) {
			s.keep(entry)
			eventTableInForce.Log(ctx, s.opts.Logger, slog.Int64("version", next.Version),
				slog.Int("routes", len(next.Routes)), slog.Int64("revision", entry.Revision))
			return
		}
	}
}

// outageFailures is the number of failed calls in a row that counts as an outage of the store. One can be the end of a
// single connection, during which entries do not lapse.
const outageFailures = 2

// noteContact keeps when the store came back.
func (s *Watcher) noteContact(now time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok {
		s.failures++
		return
	}
	if s.failures >= outageFailures {
		s.holdUntil = now.Add(returnTime)
	}
	s.failures = 0
}

// holding says whether the store's list may lack replicas that are alive.
func (s *Watcher) holding(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures >= outageFailures || now.Before(s.holdUntil)
}

func (s *Watcher) takeReplica(now time.Time, entry topo.Entry) {
	id := s.opts.Format.ReplicaID(entry.Key)
	s.keep(entry)
	if entry.Value == nil {
		s.removeReplica(now, id)
		return
	}
	replica, err := s.opts.Format.DecodeReplica(entry.Key, entry.Value)
	if err != nil {
		eventReplicaUnreadable.Log(context.Background(), s.opts.Logger, slog.String("upstream", id),
			slog.String("error", err.Error()), slog.Int64("revision", entry.Revision))
		s.removeReplica(now, id)
		return
	}
	if replica.Draining && s.opts.OnDraining != nil {
		s.opts.OnDraining(replica)
	}
	if s.opts.Replicas.Put(replica) {
		eventReplicaChanged.Log(context.Background(), s.opts.Logger, slog.String("upstream", id),
			slog.String("service", replica.Service), slog.String("stage", replica.Stage.String()),
			slog.Bool("draining", replica.Draining), slog.Int64("born", replica.Born), slog.Int64("revision", entry.Revision))
	}
}

func (s *Watcher) removeReplica(now time.Time, id string) {
	if s.holding(now) {
		s.opts.Replicas.MarkMissing(now, id)
		return
	}
	if s.opts.Replicas.Remove(id) {
		eventReplicaGone.Log(context.Background(), s.opts.Logger, slog.String("upstream", id))
	}
}

// dropLoop drops the replicas that were kept through an outage and did not come back.
func (s *Watcher) dropLoop(ctx context.Context) {
	const interval = 100 * time.Millisecond
	for sleep.For(ctx, interval) {
		if s.holding(time.Now()) {
			continue
		}
		for _, id := range s.opts.Replicas.DropMissing() {
			eventReplicaGone.Log(ctx, s.opts.Logger, slog.String("upstream", id))
		}
	}
}
