package manager_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"rhubarbpoint/config"
	"rhubarbpoint/config/manager"
	"rhubarbpoint/topo"
	"rhubarbpoint/topo/memtopo"
)

const instances = 4

// simulation is a store with faults, instances that read it, and concurrent editors.
type simulation struct {
	oracle    *oracle
	store     *memtopo.Store
	processes [instances]*process
	editors   sync.WaitGroup

	mu             sync.Mutex
	rand           *rand.Rand
	storeDown      bool
	lostAnswerRate float64
	lateWriteRate  float64
	maxDelay       time.Duration
	maxReadDelay   time.Duration
	starts         int
}

// delayedReads is a store that delays the responses to reads, so that they may be stale.
type delayedReads struct {
	topo.Store
	sim *simulation
}

// Watch implements topo.Store.
func (s delayedReads) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]topo.Entry, int64, error) {
	entries, last, err := s.Store.Watch(ctx, prefix, after, wait)
	s.sim.delayRead(ctx)
	return entries, last, err
}

// Get implements topo.Store.
func (s delayedReads) Get(ctx context.Context, key string) (topo.Entry, error) {
	e, err := s.Store.Get(ctx, key)
	s.sim.delayRead(ctx)
	return e, err
}

func (sim *simulation) delayRead(ctx context.Context) {
	sim.mu.Lock()
	delay := time.Duration(sim.rand.Int64N(int64(sim.maxReadDelay) + 1))
	sim.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

// process is one process of an instance, from its start to its restart.
type process struct {
	name    string
	manager *manager.Manager
	stop    func()
}

// Next implements memtopo.Faults.
func (sim *simulation) Next(op topo.Op, _ string) memtopo.Fault {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f := memtopo.Fault{Refuse: sim.storeDown}
	if op == topo.OpNone || sim.storeDown {
		return f
	}
	f.Delay = time.Duration(sim.rand.Int64N(int64(sim.maxDelay) + 1))
	f.LoseResponse = sim.rand.Float64() < sim.lostAnswerRate
	if op.Writes() && sim.rand.Float64() < sim.lateWriteRate {
		f.LoseResponse, f.LateBy = true, time.Duration(sim.rand.Int64N(int64(8*time.Second)))
	}
	return f
}

func (sim *simulation) update(change func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change()
}

// start replaces the process of an instance. The new process fetches the document from the other instances while the
// store is down.
func (sim *simulation) start(i int) {
	if old := sim.processes[i]; old != nil {
		old.stop()
	}
	sim.starts++
	p := &process{name: fmt.Sprintf("instance %d, process %d", i, sim.starts)}
	ctx, cancel := context.WithCancel(context.Background())
	p.manager = manager.New(manager.Options{
		Store: delayedReads{sim.store, sim}, ShouldWatch: func() bool { return i < 2 },
		FetchFromPeer: func(context.Context) ([]byte, error) {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			for _, peer := range sim.processes {
				if peer != nil && peer.name != p.name {
					if version, data := peer.manager.Encoded(); version > 0 {
						return data, nil
					}
				}
			}
			return nil, errors.New("no peer has a document")
		},
	})
	p.manager.OnChange(func(doc *config.Document) { sim.oracle.observe(p.name, doc) })
	done := make(chan struct{})
	go func() { p.manager.Run(ctx); close(done) }()
	p.stop = func() { cancel(); <-done }
	sim.update(func() { sim.processes[i] = p })
}

// observe records the document that each instance has in force, in addition to those passed to OnChange callbacks.
func (sim *simulation) observe() {
	for _, p := range sim.processes {
		if doc := p.manager.Current(); doc != nil {
			sim.oracle.observe(p.name, doc)
		}
	}
}

func (sim *simulation) inForce() int64 {
	var highest int64
	for _, p := range sim.processes {
		highest = max(highest, p.manager.Version())
	}
	return highest
}

// submit starts an edit at a random instance. Its base is the version in force there or up to two versions older.
func (sim *simulation) submit(t *rapid.T) {
	p := sim.processes[rapid.IntRange(0, instances-1).Draw(t, "instance")]
	s := &submittedEdit{
		minVersion: sim.inForce(),
		zone:       rapid.SampledFrom([]string{"a2", "b"}).Draw(t, "zone"),
		edit: manager.Edit{
			Section: rapid.SampledFrom([]string{"callers", "network", "orders"}).Draw(t, "section"),
			Base:    max(0, p.manager.Version()-rapid.Int64Range(0, 2).Draw(t, "age")),
		},
	}
	sim.oracle.add(s)
	sim.startEdit(s, p)
}

func (sim *simulation) startEdit(s *submittedEdit, p *process) {
	sim.editors.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		s.run(ctx, sim.oracle, p.manager)
	})
}

// resume submits the last edit of unknown outcome again, to a random instance.
func (sim *simulation) resume(t *rapid.T) {
	p := sim.processes[rapid.IntRange(0, instances-1).Draw(t, "instance")]
	sim.oracle.mu.Lock()
	var s *submittedEdit
	for _, candidate := range sim.oracle.edits {
		if candidate.unresolved && candidate.err != nil {
			s = candidate
		}
	}
	if s != nil {
		s.err = nil // the edit is in progress again
	}
	sim.oracle.mu.Unlock()
	if s != nil {
		sim.startEdit(s, p)
	}
}

// gossip offers the document of one instance to another, whether it is newer or older.
func (sim *simulation) gossip(t *rapid.T) {
	from := sim.processes[rapid.IntRange(0, instances-1).Draw(t, "from")].manager
	to := sim.processes[rapid.IntRange(0, instances-1).Draw(t, "to")].manager
	version, data := from.Encoded()
	if version == 0 {
		return
	}
	if err := to.ApplyEncoded(version, data); err != nil {
		t.Fatalf("offer refused: %v", err)
	}
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":  sim.submit,
		"submit2": func(t *rapid.T) { sim.submit(t); sim.submit(t) },
		"resume":  sim.resume,
		"gossip":  sim.gossip,
		"restart": func(t *rapid.T) { sim.start(rapid.IntRange(0, instances-1).Draw(t, "instance")) },
		"outage":  func(*rapid.T) { sim.update(func() { sim.storeDown = !sim.storeDown }) },
		"lost": func(t *rapid.T) {
			sim.update(func() { sim.lostAnswerRate = rapid.SampledFrom([]float64{0, 0.3, 0.8}).Draw(t, "lost") })
		},
		"late": func(t *rapid.T) {
			sim.update(func() { sim.lateWriteRate = rapid.SampledFrom([]float64{0, 0.3, 0.8}).Draw(t, "late") })
		},
		"answer": func(t *rapid.T) {
			sim.update(func() {
				sim.maxReadDelay = rapid.SampledFrom([]time.Duration{0, time.Second, 4 * time.Second}).Draw(t, "answer")
			})
		},
		"slow": func(t *rapid.T) {
			sim.update(func() {
				sim.maxDelay = rapid.SampledFrom([]time.Duration{0, time.Second, 4 * time.Second}).Draw(t, "delay")
			})
		},
		"pass": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
		},
		"": func(*rapid.T) { synctest.Wait(); sim.observe() },
	}
}

// finish ends all faults, waits until every edit has an outcome, and returns the last version in the store.
func (sim *simulation) finish(t *rapid.T) int64 {
	sim.update(func() {
		sim.storeDown, sim.lostAnswerRate, sim.lateWriteRate, sim.maxDelay, sim.maxReadDelay = false, 0, 0, 0, 0
	})
	sim.editors.Wait()
	time.Sleep(10 * time.Second) // until the last delayed write has taken effect
	for _, s := range sim.oracle.edits {
		if s.unresolved {
			s.run(t.Context(), sim.oracle, sim.processes[0].manager)
		}
	}
	time.Sleep(90 * time.Second) // until each instance has read the store
	last := sim.inForce()
	for _, p := range sim.processes {
		if version := p.manager.Version(); version != last {
			t.Errorf("%s has version %d in force, another instance %d", p.name, version, last)
		}
		p.stop()
	}
	return last
}

// Guards the guarantees of the configuration: an accepted edit comes into force on each instance and is never lost or
// reverted, versions never decrease, each refusal is justified, and each edit ends with its actual outcome. Random
// histories of edits at several instances run against a store with outages, lost responses, delays and late writes,
// while instances restart and fetch the document from peers. The oracle compares the outcomes with the documents that
// each instance had in force.
func TestNoAcceptedEditIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "faults")
		rapid.SyncTest(t, func(t *rapid.T) {
			sim := &simulation{oracle: &oracle{}, rand: rand.New(rand.NewPCG(seed, 0))}
			sim.store = memtopo.New(sim)
			for i := range instances {
				sim.start(i)
			}
			t.Repeat(sim.actions())
			last := sim.finish(t)
			t.Logf("%d edits, version %d, %d observations, calls %v", len(sim.oracle.edits), last, len(sim.oracle.observations), sim.store.Calls())
			for _, violation := range sim.oracle.violations(last) {
				t.Errorf("%s", violation)
			}
		})
	})
}
