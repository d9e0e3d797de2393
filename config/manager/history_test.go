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

// world is a store with faults, instances that follow it, and editors.
type world struct {
	oracle  *oracle
	store   *memtopo.Store
	members [instances]*member
	editors sync.WaitGroup

	mu     sync.Mutex
	rand   *rand.Rand
	down   bool
	lost   float64
	late   float64
	delay  time.Duration
	answer time.Duration
	starts int
}

// lateAnswers delays the answers of reads, which are then out of date.
type lateAnswers struct {
	topo.Store
	world *world
}

// Watch implements topo.Store.
func (s lateAnswers) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]topo.Entry, int64, error) {
	entries, last, err := s.Store.Watch(ctx, prefix, after, wait)
	s.world.pause(ctx)
	return entries, last, err
}

// Get implements topo.Store.
func (s lateAnswers) Get(ctx context.Context, key string) (topo.Entry, error) {
	e, err := s.Store.Get(ctx, key)
	s.world.pause(ctx)
	return e, err
}

func (w *world) pause(ctx context.Context) {
	w.mu.Lock()
	delay := time.Duration(w.rand.Int64N(int64(w.answer) + 1))
	w.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

// member is one process of an instance.
type member struct {
	name    string
	manager *manager.Manager
	stop    func()
}

// Next implements memtopo.Faults.
func (w *world) Next(op topo.Op, _ string) memtopo.Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := memtopo.Fault{Refuse: w.down}
	if op == topo.OpNone || w.down {
		return f
	}
	f.Delay = time.Duration(w.rand.Int64N(int64(w.delay) + 1))
	f.LoseAnswer = w.rand.Float64() < w.lost
	if op.Writes() && w.rand.Float64() < w.late {
		f.LoseAnswer, f.Late = true, time.Duration(w.rand.Int64N(int64(8*time.Second)))
	}
	return f
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// start replaces the process of an instance. It asks the other instances while the store is down.
func (w *world) start(i int) {
	if old := w.members[i]; old != nil {
		old.stop()
	}
	w.starts++
	m := &member{name: fmt.Sprintf("instance %d, process %d", i, w.starts)}
	ctx, cancel := context.WithCancel(context.Background())
	m.manager = manager.New(manager.Options{
		Store: lateAnswers{w.store, w}, ShouldWatch: func() bool { return i < 2 },
		FetchFromPeer: func(context.Context) ([]byte, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, peer := range w.members {
				if peer != nil && peer.name != m.name {
					if version, data := peer.manager.Encoded(); version > 0 {
						return data, nil
					}
				}
			}
			return nil, errors.New("no peer has a document")
		},
	})
	m.manager.OnChange(func(doc *config.Document) { w.oracle.observe(m.name, doc) })
	done := make(chan struct{})
	go func() { m.manager.Run(ctx); close(done) }()
	m.stop = func() { cancel(); <-done }
	w.set(func() { w.members[i] = m })
}

// observe records what each instance has in force, beside what it tells its own packages by OnChange.
func (w *world) observe() {
	for _, m := range w.members {
		if doc := m.manager.Current(); doc != nil {
			w.oracle.observe(m.name, doc)
		}
	}
}

func (w *world) inForce() int64 {
	var highest int64
	for _, m := range w.members {
		highest = max(highest, m.manager.Version())
	}
	return highest
}

// submit gives an edit to an instance. Its base is what that instance has in force, or an older version.
func (w *world) submit(t *rapid.T) {
	m := w.members[rapid.IntRange(0, instances-1).Draw(t, "instance")]
	s := &submitted{
		from: w.inForce(),
		zone: rapid.SampledFrom([]string{"a2", "b"}).Draw(t, "zone"),
		edit: manager.Edit{
			Section: rapid.SampledFrom([]string{"callers", "network", "orders"}).Draw(t, "section"),
			Base:    max(0, m.manager.Version()-rapid.Int64Range(0, 2).Draw(t, "age")),
		},
	}
	w.oracle.add(s)
	w.launch(s, m)
}

func (w *world) launch(s *submitted, m *member) {
	w.editors.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		s.run(ctx, w.oracle, m.manager)
	})
}

// resume gives an edit of unknown outcome to an instance again.
func (w *world) resume(t *rapid.T) {
	m := w.members[rapid.IntRange(0, instances-1).Draw(t, "instance")]
	w.oracle.mu.Lock()
	var s *submitted
	for _, candidate := range w.oracle.edits {
		if candidate.open && candidate.err != nil {
			s = candidate
		}
	}
	if s != nil {
		s.err = nil // running again
	}
	w.oracle.mu.Unlock()
	if s != nil {
		w.launch(s, m)
	}
}

// gossip lets an instance fetch the document of another, whether it is newer or older.
func (w *world) gossip(t *rapid.T) {
	from := w.members[rapid.IntRange(0, instances-1).Draw(t, "from")].manager
	to := w.members[rapid.IntRange(0, instances-1).Draw(t, "to")].manager
	version, data := from.Encoded()
	if version == 0 {
		return
	}
	if err := to.ApplyEncoded(version, data); err != nil {
		t.Fatalf("offer refused: %v", err)
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":  w.submit,
		"submit2": func(t *rapid.T) { w.submit(t); w.submit(t) },
		"resume":  w.resume,
		"gossip":  w.gossip,
		"restart": func(t *rapid.T) { w.start(rapid.IntRange(0, instances-1).Draw(t, "instance")) },
		"outage":  func(*rapid.T) { w.set(func() { w.down = !w.down }) },
		"lost":    func(t *rapid.T) { w.set(func() { w.lost = rapid.SampledFrom([]float64{0, 0.3, 0.8}).Draw(t, "lost") }) },
		"late":    func(t *rapid.T) { w.set(func() { w.late = rapid.SampledFrom([]float64{0, 0.3, 0.8}).Draw(t, "late") }) },
		"answer": func(t *rapid.T) {
			w.set(func() {
				w.answer = rapid.SampledFrom([]time.Duration{0, time.Second, 4 * time.Second}).Draw(t, "answer")
			})
		},
		"slow": func(t *rapid.T) {
			w.set(func() { w.delay = rapid.SampledFrom([]time.Duration{0, time.Second, 4 * time.Second}).Draw(t, "delay") })
		},
		"pass": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
		},
		"": func(*rapid.T) { synctest.Wait(); w.observe() },
	}
}

// finish ends all faults, lets every edit end, and returns the last version in the store.
func (w *world) finish(t *rapid.T) int64 {
	w.set(func() { w.down, w.lost, w.late, w.delay, w.answer = false, 0, 0, 0, 0 })
	w.editors.Wait()
	time.Sleep(10 * time.Second) // the last late write has landed
	for _, s := range w.oracle.edits {
		if s.open {
			s.run(t.Context(), w.oracle, w.members[0].manager)
		}
	}
	time.Sleep(90 * time.Second) // each instance has read the store
	last := w.inForce()
	for _, m := range w.members {
		if version := m.manager.Version(); version != last {
			t.Errorf("%s has version %d in force, another instance %d", m.name, version, last)
		}
		m.stop()
	}
	return last
}

// Guards the promise of the configuration: an accepted edit is in force on each instance and is never lost or reverted,
// versions never go back, each refusal is real, and each edit ends with its true outcome. Random histories of editors on
// several instances run against a store with outages, lost answers, delays and late writes, while instances restart from
// their peers; the oracle compares outcomes with what each instance had in force.
func TestNoAcceptedEditIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "faults")
		rapid.SyncTest(t, func(t *rapid.T) {
			w := &world{oracle: &oracle{}, rand: rand.New(rand.NewPCG(seed, 0))}
			w.store = memtopo.New(w)
			for i := range instances {
				w.start(i)
			}
			t.Repeat(w.actions())
			last := w.finish(t)
			t.Logf("%d edits, version %d, %d observations, calls %v", len(w.oracle.edits), last, len(w.oracle.seen), w.store.Calls())
			for _, broken := range w.oracle.verdict(last) {
				t.Errorf("%s", broken)
			}
		})
	})
}
