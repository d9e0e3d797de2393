package discovery_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"rhubarbpoint/discovery"
	"rhubarbpoint/topo"
	"rhubarbpoint/topo/memtopo"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// store is an in-memory store that can be unavailable, compact its history or leave its watches without a response.
type store struct {
	topo.Store

	mu          sync.Mutex
	unavailable bool
	compacted   int64 // watches from a lower revision fail
	silent      bool  // watches get no response
	maxChanges  int   // a watch with more changes fails; 0 means no limit
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *store) List(ctx context.Context, prefix string) ([]topo.Entry, int64, error) {
	s.mu.Lock()
	unavailable := s.unavailable
	s.mu.Unlock()
	if unavailable {
		return nil, 0, topo.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s *store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]topo.Entry, int64, error) {
	s.mu.Lock()
	unavailable, lost, silent, maxChanges := s.unavailable, after < s.compacted, s.silent, s.maxChanges
	s.mu.Unlock()
	switch {
	case unavailable:
		return nil, after, topo.ErrUnavailable
	case lost:
		return nil, after, topo.ErrCompacted
	case silent:
		time.Sleep(wait + time.Second)
		return nil, after, topo.ErrUnavailable
	}
	entries, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	if maxChanges > 0 && len(entries) > maxChanges {
		return nil, after, topo.ErrTooManyChanges
	}
	return entries, revision, err
}

// fixture is a watcher that follows a store.
type fixture struct {
	*gomega.WithT
	store     *store
	watcher   *discovery.Watcher
	replicas  *upstream.Registry
	revisions map[string]int64
}

func withFixture(t *testing.T, test func(f *fixture)) { withStore(t, &store{}, test) }

// withStore is withFixture with a store that has its faults from the start.
func withStore(t *testing.T, faulty *store, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{
			WithT: gomega.NewWithT(t), store: faulty, replicas: upstream.NewRegistry(), revisions: make(map[string]int64),
		}
		f.store.Store = memtopo.New(nil)
		f.watcher = discovery.New(discovery.Options{Store: f.store, Replicas: f.replicas, Format: discovery.Format{
			TableKey: "routes", ReplicaPrefix: "r/",
			DecodeTable: func(value []byte) (*traffic.Table, error) {
				table := &traffic.Table{}
				return table, json.Unmarshal(value, table)
			},
			DecodeReplica: func(key string, value []byte) (upstream.Replica, error) {
				r := upstream.Replica{ID: strings.TrimPrefix(key, "r/"), Service: "s"}
				if string(value) == "garbage" {
					return r, errors.New("unreadable")
				}
				r.Draining = string(value) == "draining"
				return r, nil
			},
			ReplicaID: func(key string) string { return strings.TrimPrefix(key, "r/") },
		}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { f.watcher.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		test(f)
	})
}

func (f *fixture) put(key, value string) {
	revision, err := f.store.Put(context.Background(), key, []byte(value), f.revisions[key], 0)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.revisions[key] = revision
}

func (f *fixture) remove(key string) {
	f.Expect(f.store.Delete(context.Background(), key, f.revisions[key])).To(gomega.Succeed())
	f.revisions[key] = 0
}

func (f *fixture) usable() string {
	var ids []string
	for _, r := range f.replicas.Available("s") {
		ids = append(ids, r.ID)
	}
	return strings.Join(ids, " ")
}

func (f *fixture) version() int64 {
	if table := f.watcher.Table(); table != nil {
		return table.Version
	}
	return 0
}

// Guards against a change that is not in force at once, against an older version that replaces a newer one, and against
// undecodable routes in force.
func TestRouteVersionsOnlyIncrease(t *testing.T) {
	withFixture(t, func(f *fixture) {
		time.Sleep(time.Second)
		f.Expect(f.version()).To(gomega.BeZero())
		for _, c := range []struct {
			value string
			want  int64
		}{{`{"Version":3}`, 3}, {`{"Version":9}`, 9}, {`{"Version":5}`, 9}, {`odd`, 9}, {`{"Version":12}`, 12}} {
			f.put("routes", c.value)
			time.Sleep(300 * time.Millisecond)
			f.Expect(f.version()).To(gomega.Equal(c.want), c.value)
		}
	})
}

// Guards against an undecodable entry that is used or that hides other entries, and against a draining or deleted
// replica that stays in use.
func TestReplicasFollowTheStore(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.put("r/a", "ready")
		f.put("r/b", "ready")
		f.put("r/c", "garbage")
		time.Sleep(300 * time.Millisecond)
		f.Expect(f.usable()).To(gomega.Equal("a b"))
		f.put("r/a", "draining")
		f.put("r/c", "ready")
		time.Sleep(300 * time.Millisecond)
		f.Expect(f.usable()).To(gomega.Equal("b c"))
		f.remove("r/b")
		f.put("r/c", "garbage")
		time.Sleep(300 * time.Millisecond)
		f.Expect(f.usable()).To(gomega.BeEmpty())
	})
}

// Guards against a draining replica that stays in use after the store has compacted the change that said so.
func TestCompactedHistoryIsReadAgain(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.put("r/a", "ready")
		f.put("r/b", "ready")
		time.Sleep(300 * time.Millisecond)
		f.store.set(func() { f.store.silent = true })
		time.Sleep(3 * time.Second) // until the running watch ends
		f.put("r/a", "draining")
		f.remove("r/b")
		f.put("r/d", "ready")
		f.store.set(func() { f.store.silent, f.store.compacted = false, f.revisions["r/d"] })
		time.Sleep(4 * time.Second) // until the watch without response ends
		f.Expect(f.usable()).To(gomega.Equal("d"))
	})
}

// Guards against replicas that are removed because their entries expired during a store outage, and against a replica
// that stays in use although it is not listed again.
func TestEntriesThatExpireDuringAnOutage(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.put("r/a", "ready")
		f.put("r/b", "ready")
		time.Sleep(300 * time.Millisecond)
		f.store.set(func() { f.store.unavailable = true })
		time.Sleep(5 * time.Second)
		f.Expect(f.usable()).To(gomega.Equal("a b"), "the last known replicas stay in use")
		f.remove("r/a")
		f.remove("r/b")
		f.store.set(func() { f.store.unavailable = false })
		time.Sleep(1500 * time.Millisecond)
		f.Expect(f.usable()).To(gomega.Equal("a b"), "entries may still be listed again")
		f.put("r/a", "ready")
		time.Sleep(2 * time.Second)
		f.Expect(f.usable()).To(gomega.Equal("a"), "a replica that is missing two seconds after the outage is removed")
	})
}

// Guards against instances that learn nothing any more once the changes since their last watch are too large for a
// response, and against a call for each change meanwhile.
func TestTooManyChangesAreReadAsAWhole(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.store.maxChanges = 3
		f.put("r/a", "ready")
		time.Sleep(300 * time.Millisecond)
		before := f.store.Store.(*memtopo.Store).Calls()[topo.OpList]
		const changes = 25
		for n := range changes {
			f.put(fmt.Sprint("other/", n), "x")
			time.Sleep(60 * time.Millisecond)
		}
		f.put("r/b", "ready")
		f.put("r/a", "draining")
		time.Sleep(inForce)
		f.Expect(f.usable()).To(gomega.Equal("b"))
		f.Expect(f.store.Store.(*memtopo.Store).Calls()[topo.OpList] - before).To(gomega.BeNumerically("<=", 8))
		f.put("r/b", "draining")
		time.Sleep(300 * time.Millisecond)
		f.Expect(f.usable()).To(gomega.BeEmpty(), "changes are watched again")
	})
}

// Guards against reading in a loop without a pause if the store keeps no history.
func TestStoreWithoutHistoryIsNotFlooded(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.put("r/a", "ready")
		time.Sleep(300 * time.Millisecond)
		f.store.set(func() { f.store.compacted = 1 << 62 })
		before := f.store.Store.(*memtopo.Store).Calls()[topo.OpList]
		time.Sleep(20 * time.Second)
		lists := f.store.Store.(*memtopo.Store).Calls()[topo.OpList] - before
		f.Expect(lists).To(gomega.BeNumerically("<=", 25), "one read per second once the pause has grown")
	})
}

// Guards against an instance that starts during a store outage and serves nothing although a peer knows the routes and
// replicas, and against a peer's snapshot that overrides the store's own list.
func TestPeerSnapshotReplacesUnreachableStore(t *testing.T) {
	var version int64
	var data []byte
	withFixture(t, func(f *fixture) {
		f.put("routes", `{"Version":3}`)
		f.put("r/a", "ready")
		f.put("r/b", "ready")
		f.put("r/c", "garbage")
		time.Sleep(300 * time.Millisecond)
		f.remove("r/b")
		time.Sleep(300 * time.Millisecond)
		version, data = f.watcher.EncodeSnapshot()
		f.Expect(version).To(gomega.BeEquivalentTo(3))
	})
	withStore(t, &store{unavailable: true}, func(f *fixture) {
		time.Sleep(5 * time.Second)
		f.Expect(f.watcher.ApplySnapshot(time.Now(), []byte("odd"))).NotTo(gomega.Succeed())
		f.Expect(f.watcher.ApplySnapshot(time.Now(), data)).To(gomega.Succeed())
		f.Expect(f.version()).To(gomega.BeEquivalentTo(3))
		f.Expect(f.usable()).To(gomega.Equal("a"))
		f.put("routes", `{"Version":2}`)
		f.put("r/d", "ready")
		f.store.set(func() { f.store.unavailable = false })
		time.Sleep(5 * time.Second)
		f.Expect(f.version()).To(gomega.BeEquivalentTo(3), "routes are never replaced by older ones")
		f.Expect(f.usable()).To(gomega.Equal("d"), "the store lists all replicas")
		f.Expect(f.watcher.ApplySnapshot(time.Now(), data)).To(gomega.Succeed())
		f.Expect(f.usable()).To(gomega.Equal("d"))
	})
}

// Guards against a group of changes that costs every instance one call for each change, and against changes that are in
// force late.
func TestChangesAreReadInGroups(t *testing.T) {
	withFixture(t, func(f *fixture) {
		time.Sleep(time.Second)
		before := f.store.Store.(*memtopo.Store).Calls()[topo.OpWatch]
		for i := range 40 {
			f.put("routes", fmt.Sprintf(`{"Version":%d}`, i+1))
			time.Sleep(25 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		f.Expect(f.version()).To(gomega.BeEquivalentTo(40))
		f.Expect(f.store.Store.(*memtopo.Store).Calls()[topo.OpWatch] - before).To(gomega.BeNumerically("<=", 8))
	})
}

const (
	// inTouchAfter is the shortest time of a deployment after which an instance counts as in touch again.
	inTouchAfter = 4 * time.Second
	// cutTime is the shortest time of a cut.
	cutTime = 5500 * time.Millisecond
)

// Guards against an instance that still uses a removed replica when it has been in touch with the store again for so long
// that it must know better, because it noticed late that it was.
func TestRemovedReplicaIsDroppedAfterACut(t *testing.T) {
	withFixture(t, func(f *fixture) {
		for n := range 200 {
			key := fmt.Sprintf("r/c%d", n)
			f.put(key, "ready")
			time.Sleep(5*time.Second + time.Duration(n)*17*time.Millisecond)
			f.store.set(func() { f.store.silent = true })
			time.Sleep(cutTime / 2)
			f.remove(key)
			time.Sleep(cutTime/2 + time.Duration(n%40)*50*time.Millisecond)
			f.store.set(func() { f.store.silent = false })
			time.Sleep(inTouchAfter)
			f.Expect(f.usable()).To(gomega.BeEmpty(), "round %d", n)
		}
	})
}
