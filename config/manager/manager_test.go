package manager_test

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/config"
	"rhubarbpoint/config/manager"
	"rhubarbpoint/topo"
	"rhubarbpoint/topo/memtopo"
)

// start runs a manager until the test ends or stop is called.
func start(t *testing.T, opts manager.Options) (m *manager.Manager, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	m = manager.New(opts)
	done := make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return m, stop
}

func edit(m *manager.Manager, section string, base int64, content string) (manager.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return m.Edit(ctx, manager.Edit{Section: section, Base: base, Content: []byte(content)})
}

// Guards against an instance that misses an edit. One that watches the store must have the edit immediately, one that
// only reads each minute within 72 s, and one to which a peer offers it immediately.
func TestEditReachesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := memtopo.New(nil)
		editor, _ := start(t, manager.Options{Store: store})
		watcher, _ := start(t, manager.Options{Store: store, ShouldWatch: func() bool { return true }})
		reader, _ := start(t, manager.Options{Store: store})
		offered, _ := start(t, manager.Options{Store: store})
		time.Sleep(time.Minute)
		g.Expect(editor.Ready()).To(gomega.BeFalse())
		result, err := edit(editor, "callers", 0, `{"allow_unknown":true}`)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(result.Version).To(gomega.BeEquivalentTo(1))
		g.Expect(editor.Version()).To(gomega.BeEquivalentTo(1))
		synctest.Wait()
		g.Expect(watcher.Version()).To(gomega.BeEquivalentTo(1))
		version, data := watcher.Encoded()
		g.Expect(offered.ApplyEncoded(version, data)).To(gomega.Succeed())
		g.Expect(offered.Current().Callers.AllowUnknown).To(gomega.BeTrue())
		g.Expect(offered.ApplyEncoded(version+1, data)).To(gomega.MatchError(manager.ErrInvalidPeerDocument))
		g.Expect(offered.ApplyEncoded(version+1, data[:20])).To(gomega.MatchError(manager.ErrInvalidPeerDocument))
		time.Sleep(72 * time.Second)
		g.Expect(reader.Version()).To(gomega.BeEquivalentTo(1))
		g.Expect(store.Calls()[topo.OpGet]).To(gomega.BeEquivalentTo(1))
	})
}

// cutStore is a store that can be cut off, and whose watches can fail because they would return too many changes.
type cutStore struct {
	topo.Store
	cut, tooMany atomic.Bool
}

func (s *cutStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]topo.Entry, int64, error) {
	switch {
	case s.cut.Load():
		return nil, after, topo.ErrUnavailable
	case s.tooMany.Load() && after > 0:
		return nil, after, topo.ErrTooManyChanges
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// Guards against an instance that never learns of an edit again, because the changes since its last read cannot be
// watched: the store has discarded them, or they are too large for a response.
func TestChangesThatCannotBeWatchedAreRead(t *testing.T) {
	for name, prepare := range map[string]func(*cutStore, *memtopo.Store){
		"discarded": func(_ *cutStore, store *memtopo.Store) { store.Compact() },
		"too large": func(cut *cutStore, _ *memtopo.Store) { cut.tooMany.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				store := memtopo.New(nil)
				cut := &cutStore{Store: store}
				editor, _ := start(t, manager.Options{Store: store})
				watcher, _ := start(t, manager.Options{Store: cut, ShouldWatch: func() bool { return true }})
				_, err := edit(editor, "callers", 0, `{"allow_unknown":true}`)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				time.Sleep(time.Minute)
				g.Expect(watcher.Version()).To(gomega.BeEquivalentTo(1))
				cut.cut.Store(true)
				time.Sleep(time.Minute)
				_, err = edit(editor, "callers", 1, `{"allow_unknown":false}`)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				prepare(cut, store)
				cut.cut.Store(false)
				time.Sleep(13 * time.Second)
				g.Expect(watcher.Version()).To(gomega.BeEquivalentTo(2))
				before := store.Calls()[topo.OpList]
				time.Sleep(time.Minute)
				g.Expect(store.Calls()[topo.OpList]-before).To(gomega.BeNumerically("<=", 20), "reads without a pause")
			})
		})
	}
}

// Guards against a lost update between two editors of one section, and against a conflict between edits of different
// sections.
func TestConcurrentEdits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		slow := memtopo.FaultFunc(func(topo.Op, string) memtopo.Fault { return memtopo.Fault{Delay: 100 * time.Millisecond} })
		store := memtopo.New(slow)
		contents := map[string]string{
			"callers": `{"allow_unknown":true}`, "network": `{"regions":[{"name":"r","zones":["z"]}]}`,
		}
		errs := make(map[string]chan error)
		for section, content := range contents {
			errs[section] = make(chan error, 2)
			for range 2 {
				m := manager.New(manager.Options{Store: store})
				go func() { _, err := edit(m, section, 0, content); errs[section] <- err }()
			}
		}
		for section := range contents {
			first, second := <-errs[section], <-errs[section]
			if first != nil {
				first, second = second, first
			}
			g.Expect(first).NotTo(gomega.HaveOccurred())
			g.Expect(second).To(gomega.MatchError(manager.ErrConflict))
		}
		last, _ := start(t, manager.Options{Store: store})
		time.Sleep(time.Second)
		g.Expect(last.Version()).To(gomega.BeEquivalentTo(2))
		g.Expect(last.Current().Callers.AllowUnknown).To(gomega.BeTrue())
		g.Expect(last.Current().Network.Regions).To(gomega.HaveLen(1))
		_, err := edit(last, "orders", 2, `{"services":[{"name":"s","routes":[{"method":"GET","path":"/"}],
			"upstreams":[{"id":"u","address":"10.0.0.1:1","region":"r","zone":"absent"}]}]}`)
		g.Expect(err).To(gomega.MatchError(config.ErrInvalid))
		g.Expect(last.Version()).To(gomega.BeEquivalentTo(2))
	})
}

// Guards against a wrong outcome for an edit whose write got no response: "not applied" for an edit that was applied,
// or an unknown outcome that cannot be resolved.
func TestOutcomesWhileTheStoreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var fault func(topo.Op) memtopo.Fault
		store := memtopo.New(memtopo.FaultFunc(func(op topo.Op, _ string) memtopo.Fault { return fault(op) }))
		m := manager.New(manager.Options{Store: store})
		down := func(topo.Op) memtopo.Fault { return memtopo.Fault{Refuse: true} }
		up := func(topo.Op) memtopo.Fault { return memtopo.Fault{} }

		fault = down
		_, err := edit(m, "callers", 0, `{}`)
		g.Expect(err).To(gomega.MatchError(manager.ErrUnavailable))
		fault = up
		_, err = edit(m, "callers", 0, `{}`)
		g.Expect(err).NotTo(gomega.HaveOccurred())

		fault = func(op topo.Op) memtopo.Fault {
			if op.Writes() {
				fault = down // the write takes effect, after which the store goes down
				return memtopo.Fault{LoseResponse: true}
			}
			return memtopo.Fault{}
		}
		content := []byte(`{"allow_unknown":true}`)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		result, err := m.Edit(ctx, manager.Edit{Section: "callers", Base: 1, Content: content})
		var unknown *manager.OutcomeUnknownError
		g.Expect(errors.As(err, &unknown)).To(gomega.BeTrue())
		g.Expect(unknown.ID).To(gomega.Equal(result.ID))
		g.Expect(err.Error()).To(gomega.ContainSubstring(result.ID))
		fault = up
		again := manager.Edit{ID: unknown.ID, Since: unknown.Since, Section: "callers", Base: 1, Content: content}
		result, err = m.Edit(t.Context(), again)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(result.Version).To(gomega.BeEquivalentTo(2))
		again.Content = []byte(`{}`)
		_, err = m.Edit(t.Context(), again)
		g.Expect(err).To(gomega.MatchError(manager.ErrIDReused))

		for i := range 300 {
			_, err := edit(m, "network", int64(2+i), `{}`)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		again.Content = content
		_, err = m.Edit(t.Context(), again)
		g.Expect(err).To(gomega.MatchError(manager.ErrOutcomeUnknown))
		g.Expect(err).NotTo(gomega.MatchError(manager.ErrConflict))
		again.ID, again.Since = "later", m.Version()
		_, err = m.Edit(t.Context(), again)
		g.Expect(err).To(gomega.MatchError(manager.ErrConflict))
	})
}

// Guards against an instance that is ready without a document, or that does not become ready during a store outage
// although a peer has a document.
func TestStartWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var storeDown, reachable atomic.Bool
		store := memtopo.New(memtopo.FaultFunc(func(topo.Op, string) memtopo.Fault { return memtopo.Fault{Refuse: storeDown.Load()} }))
		old := manager.New(manager.Options{Store: store})
		g.Expect(old.Seed(t.Context(), []byte(`{"callers":{"allow_unknown":true}}`))).To(gomega.Succeed())
		g.Expect(old.Seed(t.Context(), []byte(`{"callers":{"allow_unknown":true}}`))).To(gomega.Succeed())
		g.Expect(old.Seed(t.Context(), []byte(`{}`))).To(gomega.MatchError(manager.ErrExists))
		storeDown.Store(true)
		newcomer, _ := start(t, manager.Options{Store: store, FetchFromPeer: func(context.Context) ([]byte, error) {
			if !reachable.Load() {
				return nil, errors.New("unreachable")
			}
			_, data := old.Encoded()
			return data, nil
		}})
		time.Sleep(30 * time.Second)
		g.Expect(newcomer.Ready()).To(gomega.BeFalse())
		g.Expect(newcomer.Current()).To(gomega.BeNil())
		reachable.Store(true)
		time.Sleep(6 * time.Second)
		g.Expect(newcomer.Ready()).To(gomega.BeTrue())
		g.Expect(newcomer.Current().Callers.AllowUnknown).To(gomega.BeTrue())
	})
}

// Guards against a document of the size expected in two years being too large for the store.
func TestFullSizeFitsTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	var doc config.Document
	for z := range 6 {
		if z%3 == 0 {
			doc.Network.Regions = append(doc.Network.Regions, config.Region{Name: fmt.Sprintf("region-%d", z/3)})
		}
		r := &doc.Network.Regions[z/3]
		r.Zones = append(r.Zones, fmt.Sprintf("zone-%d", z))
	}
	for i := range 7 {
		doc.Models.Models = append(doc.Models.Models, config.Model{Name: fmt.Sprintf("model-name-of-some-length-%d", i), Version: "2026-11-30-build-17",
			ContextTokens: 128000, PrefillTokensPerSecond: 20000, KVBytesPerToken: 100000})
	}
	for i := range 860 {
		zone := i % 6
		doc.Models.Engines = append(doc.Models.Engines, config.Engine{
			ID: fmt.Sprintf("engine-%04d.zone-%d", i, zone), Address: fmt.Sprintf("10.%d.%d.%d:8000", zone, i/250, i%250),
			Region: fmt.Sprintf("region-%d", zone/3), Zone: fmt.Sprintf("zone-%d", zone), ChecksFence: true, Accelerators: 4,
			Models: []string{doc.Models.Models[i%7].Name, doc.Models.Models[(i+1)%7].Name},
		})
	}
	for i := range 1100 {
		key := sha256.Sum256([]byte{byte(i), byte(i >> 8)})
		doc.Callers.Workspaces = append(doc.Callers.Workspaces, config.Workspace{
			Name: fmt.Sprintf("workspace-of-a-customer-%04d", i), KeySHA256: hex.EncodeToString(key[:]), Weight: 1.25, Priority: 5,
		})
	}
	callers, err := json.Marshal(doc.Callers)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	models, _ := json.Marshal(map[string]any{"engines": doc.Models.Engines, "models": doc.Models.Models})
	network, _ := json.Marshal(map[string]any{"regions": doc.Network.Regions})

	store := memtopo.New(nil)
	m := manager.New(manager.Options{Store: store})
	for range 256 { // fills the history, which counts towards the size
		_, err = edit(m, "orders", m.Version(), `{}`)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	for _, e := range []struct{ section, content string }{
		{"network", string(network)}, {"callers", string(callers)}, {"models", string(models)},
	} {
		_, err := edit(m, e.section, m.Version(), e.content)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	e, err := store.Get(t.Context(), manager.StoreKey)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Logf("document: %d bytes of JSON, record in the store: %d bytes", len(m.RawDocument().Encode()), len(e.Value))
	g.Expect(len(m.RawDocument().Encode())).To(gomega.BeNumerically("<", 1_000_000))
	g.Expect(len(e.Value)).To(gomega.BeNumerically("<", 1_000_000))
}

// Guards against store calls beyond the budget of section 8 of the design: one watch in 10 s for an instance that
// watches, one read a minute for each instance, and no retry storm while the store is down.
func TestStoreBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var storeDown atomic.Bool
		store := memtopo.New(memtopo.FaultFunc(func(topo.Op, string) memtopo.Fault { return memtopo.Fault{Refuse: storeDown.Load()} }))
		seeder := manager.New(manager.Options{Store: store})
		g.Expect(seeder.Seed(t.Context(), []byte(`{}`))).To(gomega.Succeed())
		start(t, manager.Options{Store: store, ShouldWatch: func() bool { return true }})
		reader, _ := start(t, manager.Options{Store: store})
		time.Sleep(time.Second)
		calls := func() int64 { return store.Calls()[topo.OpWatch] + store.Calls()[topo.OpGet] }
		before := calls()
		time.Sleep(10 * time.Minute)
		const watches, reads = 60, 2 * 10 * 1.25 // a read comes after 48 to 72 s
		g.Expect(calls() - before).To(gomega.And(gomega.BeNumerically(">=", watches), gomega.BeNumerically("<=", watches+reads+1)))
		storeDown.Store(true)
		before = calls()
		time.Sleep(time.Hour)
		const retries = 3600 / 4 // the watch is retried after 4 to 6 s
		g.Expect(calls() - before).To(gomega.BeNumerically("<=", retries+2*75+10))
		g.Expect(reader.Ready()).To(gomega.BeTrue())
	})
}

// Guards against an instance without a store that accepts an invalid file or an edit, and against a callback that is
// not called with the document in force.
func TestDocumentFromFile(t *testing.T) {
	g := gomega.NewWithT(t)
	m := manager.New(manager.Options{})
	var versions []int64
	m.OnChange(func(doc *config.Document) { versions = append(versions, doc.Version) })
	g.Expect(m.Load([]byte(`{"callers":{"unknown":1}}`))).To(gomega.MatchError(config.ErrInvalid))
	g.Expect(m.Ready()).To(gomega.BeFalse())
	g.Expect(m.Load([]byte(`{"callers":{"allow_unknown":true}}`))).To(gomega.Succeed())
	g.Expect(m.Load([]byte(`{"version":7}`))).To(gomega.Succeed())
	g.Expect(m.Load([]byte(`{"version":6,"callers":{"allow_unknown":true}}`))).To(gomega.Succeed())
	g.Expect(m.Current().Callers.AllowUnknown).To(gomega.BeFalse())
	m.OnChange(func(doc *config.Document) { versions = append(versions, -doc.Version) })
	g.Expect(versions).To(gomega.Equal([]int64{1, 7, -7}))
	g.Expect(m.Previous().Version).To(gomega.BeEquivalentTo(1))
	g.Expect(m.PastVersion(1).Callers.AllowUnknown).To(gomega.BeTrue())
	g.Expect(m.PastVersion(2)).To(gomega.BeNil())
	_, err := edit(m, "callers", 7, `{}`)
	g.Expect(err).To(gomega.MatchError(manager.ErrUnavailable))
}

// Guards against an edit that is too large for the store being retried until its deadline or reported as unknown.
func TestTooLargeEditIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	var callers config.Callers
	random := rand.NewChaCha8([32]byte{})
	for range 10_000 { // about 122 bytes each that do not compress
		name, key := make([]byte, 90), make([]byte, 32)
		random.Read(name)
		random.Read(key)
		callers.Workspaces = append(callers.Workspaces, config.Workspace{
			Name: "w" + base64.RawURLEncoding.EncodeToString(name), KeySHA256: hex.EncodeToString(key), Weight: 1, Priority: 5,
		})
	}
	content, err := json.Marshal(callers)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	m := manager.New(manager.Options{Store: memtopo.New(nil)})
	_, err = edit(m, "callers", 0, string(content))
	g.Expect(err).To(gomega.MatchError(config.ErrInvalid))
	g.Expect(err.Error()).To(gomega.ContainSubstring("compressed"))
	g.Expect(m.Ready()).To(gomega.BeFalse())
}
