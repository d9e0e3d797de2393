package member_test

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/internal/fakenet"
	"rhubarbpoint/member"
	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
)

// runInVirtualTime runs a test in a synctest bubble. yamux keeps timers in a sync.Pool of the process, and a timer of
// one bubble must not be used in another; two garbage collections empty every pool.
func runInVirtualTime(t *testing.T, run func(*testing.T)) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, run)
}

// node is an instance of a test cluster. It is the Sink of its service.
type node struct {
	service   *member.Service
	transport *peer.Transport
	stop      func()

	mu         sync.Mutex
	version    int64
	doc        *config.Document
	leaving    map[string]time.Time
	loads      map[string]int
	suspicions []*peerpb.Suspicion
}

type cluster struct {
	network    *fakenet.Network
	engines    engine.Client
	directory  topo.Directory
	nodes      []*node
	startCount int
}

func address(zone string, i int) string { return fmt.Sprintf("%s-%d:7000", zone, i) }

// add starts an instance whose only seed is the given address.
func (c *cluster) add(zone string, i int, seed string, doc *config.Document) *node {
	c.startCount++
	at := address(zone, i)
	n := &node{leaving: make(map[string]time.Time), loads: make(map[string]int)}
	if doc != nil {
		n.version, n.doc = doc.Version, doc
	}
	id := fmt.Sprintf("%s-%d-%08x", zone, i, c.startCount)
	n.transport = peer.New(peer.Options{
		Self: id, Dial: c.network.Dialer(at),
		Address: func(id string) (string, bool) { return n.service.Address(id) },
	})
	n.service = member.New(member.Options{
		ID: id, Region: zone[:1], Zone: zone, PeerAddress: at, Seeds: []string{seed}, Directory: c.directory,
		Transport: n.transport, Engines: c.engines, Sink: n,
		Document: n.document, EncodedDocument: n.encodedDocument, ApplyDocument: n.applyDocument,
		MergeSuspicion: func(x *peerpb.Suspicion) { n.mu.Lock(); n.suspicions = append(n.suspicions, x); n.mu.Unlock() },
	})
	n.service.Register(n.transport)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { n.transport.Serve(c.network.Listen(at)) })
	running.Go(func() { n.service.Run(ctx) })
	n.stop = func() {
		cancel()
		n.transport.Shutdown(ctx)
		running.Wait()
	}
	c.nodes = append(c.nodes, n)
	return n
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.stop()
	}
}

// startCluster starts a cluster of count instances in each zone. Their only seed is the first instance.
func startCluster(engines engine.Client, doc *config.Document, count int, zones ...string) *cluster {
	c := &cluster{network: fakenet.New(), engines: engines}
	for i := range count {
		for _, zone := range zones {
			c.add(zone, i, address(zones[0], 0), doc)
		}
	}
	return c
}

func (n *node) document() *config.Document {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.doc
}

func (n *node) encodedDocument() (int64, []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	data, _ := json.Marshal(n.doc)
	return n.version, data
}

func (n *node) applyDocument(_ context.Context, version int64, document []byte) error {
	var doc config.Document
	if err := json.Unmarshal(document, &doc); err != nil {
		return err
	}
	n.setDocument(version, &doc)
	return nil
}

func (n *node) setDocument(version int64, doc *config.Document) {
	n.mu.Lock()
	if version > n.version {
		n.version, n.doc = version, doc
	}
	n.mu.Unlock()
	n.service.ConfigChanged()
}

func (n *node) versionInForce() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version
}

func (n *node) leavingSince(upstream string) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.leaving[upstream]
	return at, ok
}

func (n *node) SetDocument(*config.Document)              {}
func (n *node) UpdateCache(string, *engine.CacheEvents)   {}
func (n *node) UpdateZone(time.Time, *peerpb.ZoneSummary) {}
func (n *node) UpdateLoad(_ time.Time, l *peerpb.UpstreamLoad) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads[l.GetUpstream()]++
}

func (n *node) SetLeaving(upstream string, _ uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.leaving[upstream]; !known {
		n.leaving[upstream] = time.Now()
	}
}

// fakeEngines is a fake engine client that counts polls by engine address.
type fakeEngines struct {
	engine.Client
	mu       sync.Mutex
	polls    map[string]int
	draining map[string]bool
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{polls: make(map[string]int), draining: make(map[string]bool)}
}

func (e *fakeEngines) Load(_ context.Context, addr string) (*engine.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.polls[addr]++
	return &engine.LoadReport{
		Epoch: "1", At: time.Now(), Running: e.polls[addr] % 30, MaxRunning: 64, Draining: e.draining[addr],
		Models: []engine.LoadedModel{{Name: "m", Version: "1"}},
	}, nil
}

func (e *fakeEngines) CacheEvents(context.Context, string, uint64) (*engine.CacheEvents, error) {
	return &engine.CacheEvents{}, nil
}

// resetPolls sets the counts of polls to 0 and returns the previous ones.
func (e *fakeEngines) resetPolls() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	polls := e.polls
	e.polls = make(map[string]int)
	return polls
}

func newDocument(version int64, perZone int, zones ...string) *config.Document {
	doc := &config.Document{Version: version}
	doc.Models.Models = []config.Model{{Name: "m", Version: "1"}}
	for _, zone := range zones {
		for i := range perZone {
			id := fmt.Sprintf("engine-%s-%d", zone, i)
			doc.Models.Engines = append(doc.Models.Engines, config.Engine{ID: id, Address: id, Region: zone[:1], Zone: zone})
		}
	}
	return doc
}
