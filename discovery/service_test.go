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

// store is a memory store that can be away, forget its history or keep its watches silent.
type store struct {
	topo.Store

	mu        sync.Mutex
	away      bool
	compacted int64 // watches from below this revision fail
	silent    bool  // watches hear nothing
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *store) List(ctx context.Context, prefix string) ([]topo.Entry, int64, error) {
	s.mu.Lock()
	away := s.away
	s.mu.Unlock()
	if away {
		return nil, 0, topo.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s *store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]topo.Entry, int64, error) {
	s.mu.Lock()
	away, lost, silent := s.away, after < s.compacted, s.silent
	s.mu.Unlock()
	switch {
	case away:
		return nil, after, topo.ErrUnavailable
	case lost:
		return nil, after, topo.ErrCompacted
	case silent:
		time.Sleep(wait + time.Second)
		return nil, after, topo.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// world is a service that follows a store.
type world struct {
	*gomega.WithT
	store    *store
	service  *discovery.Watcher
	replicas *upstream.Registry
	revs     map[string]int64
}

func inWorld(t *testing.T, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			WithT: gomega.NewWithT(t), store: &store{Store: memtopo.New(nil)}, replicas: upstream.NewRegistry(), revs: make(map[string]int64),
		}
		w.service = discovery.New(discovery.Options{Store: w.store, Replicas: w.replicas, Format: discovery.Format{
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
		go func() { w.service.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		f(w)
	})
}

func (w *world) put(key, value string) {
	rev, err := w.store.Put(context.Background(), key, []byte(value), w.revs[key], 0)
	w.Expect(err).NotTo(gomega.HaveOccurred())
	w.revs[key] = rev
}

func (w *world) remove(key string) {
	w.Expect(w.store.Delete(context.Background(), key, w.revs[key])).To(gomega.Succeed())
	w.revs[key] = 0
}

func (w *world) usable() string {
	var ids []string
	for _, r := range w.replicas.Available("s") {
		ids = append(ids, r.ID)
	}
	return strings.Join(ids, " ")
}

func (w *world) version() int64 {
	if table := w.service.Table(); table != nil {
		return table.Version
	}
	return 0
}

// Guards against a change that is not in force at once, an older version after a newer one, and routes that cannot be read
// in force.
func TestRoutesOnlyGoForward(t *testing.T) {
	inWorld(t, func(w *world) {
		time.Sleep(time.Second)
		w.Expect(w.version()).To(gomega.BeZero())
		for _, c := range []struct {
			value string
			want  int64
		}{{`{"Version":3}`, 3}, {`{"Version":9}`, 9}, {`{"Version":5}`, 9}, {`odd`, 9}, {`{"Version":12}`, 12}} {
			w.put("routes", c.value)
			time.Sleep(300 * time.Millisecond)
			w.Expect(w.version()).To(gomega.Equal(c.want), c.value)
		}
	})
}

// Guards against an unreadable entry that is used or that hides the others, and against a replica that is used although it
// leaves.
func TestReplicasComeAndGo(t *testing.T) {
	inWorld(t, func(w *world) {
		w.put("r/a", "ready")
		w.put("r/b", "ready")
		w.put("r/c", "garbage")
		time.Sleep(300 * time.Millisecond)
		w.Expect(w.usable()).To(gomega.Equal("a b"))
		w.put("r/a", "draining")
		w.put("r/c", "ready")
		time.Sleep(300 * time.Millisecond)
		w.Expect(w.usable()).To(gomega.Equal("b c"))
		w.remove("r/b")
		w.put("r/c", "garbage")
		time.Sleep(300 * time.Millisecond)
		w.Expect(w.usable()).To(gomega.BeEmpty())
	})
}

// Guards against a leaving replica that goes on being used after the store has dropped the history that said so.
func TestALostHistoryIsReadAgain(t *testing.T) {
	inWorld(t, func(w *world) {
		w.put("r/a", "ready")
		w.put("r/b", "ready")
		time.Sleep(300 * time.Millisecond)
		w.store.set(func() { w.store.silent = true })
		time.Sleep(3 * time.Second) // the watch that was under way ends
		w.put("r/a", "draining")
		w.remove("r/b")
		w.put("r/d", "ready")
		w.store.set(func() { w.store.silent, w.store.compacted = false, w.revs["r/d"] })
		time.Sleep(4 * time.Second) // until the silent watch is over
		w.Expect(w.usable()).To(gomega.Equal("d"))
	})
}

// Guards against replicas that are taken for gone because their entries lapsed during an outage, and against one that
// stays in use although it did not come back.
func TestEntriesThatLapseDuringAnOutage(t *testing.T) {
	inWorld(t, func(w *world) {
		w.put("r/a", "ready")
		w.put("r/b", "ready")
		time.Sleep(300 * time.Millisecond)
		w.store.set(func() { w.store.away = true })
		time.Sleep(5 * time.Second)
		w.Expect(w.usable()).To(gomega.Equal("a b"), "what was known last stays in use")
		w.remove("r/a")
		w.remove("r/b")
		w.store.set(func() { w.store.away = false })
		time.Sleep(1500 * time.Millisecond)
		w.Expect(w.usable()).To(gomega.Equal("a b"), "entries may still come back")
		w.put("r/a", "ready")
		time.Sleep(2 * time.Second)
		w.Expect(w.usable()).To(gomega.Equal("a"), "one that is missing two seconds after the return is gone")
	})
}

// Guards against a store without any history that is read in a loop without a pause.
func TestAStoreWithoutHistoryIsNotFlooded(t *testing.T) {
	inWorld(t, func(w *world) {
		w.put("r/a", "ready")
		time.Sleep(300 * time.Millisecond)
		w.store.set(func() { w.store.compacted = 1 << 62 })
		before := w.store.Store.(*memtopo.Store).Calls()[topo.OpList]
		time.Sleep(20 * time.Second)
		lists := w.store.Store.(*memtopo.Store).Calls()[topo.OpList] - before
		w.Expect(lists).To(gomega.BeNumerically("<=", 25), "a read each second once the pause has grown")
	})
}

// Guards against an instance that starts during an outage of the store and serves nothing although a peer knows the routes
// and replicas, and against what a peer knew that outlives the store's own list.
func TestAPeerHelpsWithoutTheStore(t *testing.T) {
	var version int64
	var data []byte
	inWorld(t, func(w *world) {
		w.put("routes", `{"Version":3}`)
		w.put("r/a", "ready")
		w.put("r/b", "ready")
		w.put("r/c", "garbage")
		time.Sleep(300 * time.Millisecond)
		w.remove("r/b")
		time.Sleep(300 * time.Millisecond)
		version, data = w.service.EncodeSnapshot()
		w.Expect(version).To(gomega.BeEquivalentTo(3))
	})
	inWorld(t, func(w *world) {
		w.store.set(func() { w.store.away = true })
		time.Sleep(5 * time.Second)
		w.Expect(w.service.ApplySnapshot(time.Now(), []byte("odd"))).NotTo(gomega.Succeed())
		w.Expect(w.service.ApplySnapshot(time.Now(), data)).To(gomega.Succeed())
		w.Expect(w.version()).To(gomega.BeEquivalentTo(3))
		w.Expect(w.usable()).To(gomega.Equal("a"))
		w.put("routes", `{"Version":2}`)
		w.put("r/d", "ready")
		w.store.set(func() { w.store.away = false })
		time.Sleep(5 * time.Second)
		w.Expect(w.version()).To(gomega.BeEquivalentTo(3), "routes never go back")
		w.Expect(w.usable()).To(gomega.Equal("d"), "the store lists all replicas")
		w.Expect(w.service.ApplySnapshot(time.Now(), data)).To(gomega.Succeed())
		w.Expect(w.usable()).To(gomega.Equal("d"))
	})
}

// Guards against a group of changes that costs every instance a call for each of them, and against one that is in force late.
func TestChangesAreReadInGroups(t *testing.T) {
	inWorld(t, func(w *world) {
		time.Sleep(time.Second)
		before := w.store.Store.(*memtopo.Store).Calls()[topo.OpWatch]
		for i := range 40 {
			w.put("routes", fmt.Sprintf(`{"Version":%d}`, i+1))
			time.Sleep(25 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		w.Expect(w.version()).To(gomega.BeEquivalentTo(40))
		w.Expect(w.store.Store.(*memtopo.Store).Calls()[topo.OpWatch] - before).To(gomega.BeNumerically("<=", 8))
	})
}
