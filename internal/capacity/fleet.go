package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/config"
	"rhubarbpoint/internal/fakenet"
	"rhubarbpoint/member"
	"rhubarbpoint/peer"
	"rhubarbpoint/topo"
)

// FleetSize holds the numbers of instances, regions, zones and engines of a fleet.
type FleetSize struct {
	Instances, Regions, ZonesPerRegion, Engines int
	// TCP selects loopback sockets instead of in-memory connections.
	TCP bool
}

// Fleet is a set of running instances with fake engines. It is not safe for concurrent use.
type Fleet struct {
	size      FleetSize
	doc       *config.Document
	network   *fakenet.Network
	directory *directory
	nodes     []*node
	started   int
}

// directory is an instance list in which changes are visible at once.
type directory struct {
	mu        sync.Mutex
	instances []topo.Instance
	reads     int
}

// Instances implements topo.Directory.
func (d *directory) Instances(context.Context) ([]topo.Instance, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reads++
	return append([]topo.Instance{}, d.instances...), nil
}

// Start starts a fleet. After an error, it stops the instances that it has started.
func Start(size FleetSize) (*Fleet, error) {
	f := &Fleet{size: size, network: fakenet.New(), directory: &directory{}, doc: newDocument(size)}
	for i := range size.Instances {
		if err := f.startInstance(i); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// Stop ends all instances.
func (f *Fleet) Stop() {
	for _, n := range f.nodes {
		n.cancel()
	}
	for _, n := range f.nodes {
		n.stop()
	}
}

func (s FleetSize) placement(i int) (region, zone string) {
	zones := s.Regions * s.ZonesPerRegion
	index := i % zones
	return fmt.Sprintf("region-%d", index/s.ZonesPerRegion), fmt.Sprintf("zone-%d", index)
}

func (f *Fleet) startInstance(i int) error {
	region, zone := f.size.placement(i)
	f.started++
	id := fmt.Sprintf("entry-%03d-%08x", i, f.started*2654435761%(1<<32))
	n := &node{zone: zone, metrics: metrics.NewRegistry(), loads: make(map[string]time.Time)}
	n.setConfig(f.doc.Version, f.doc, nil)
	listener, dial, err := f.listen(i)
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	n.transport = peer.New(peer.Options{
		Self: id, Dial: dial, Metrics: n.metrics, Address: func(id string) (string, bool) { return n.service.Address(id) },
	})
	n.service = member.New(member.Options{
		ID: id, Region: region, Zone: zone, PeerAddress: address, OperatorAddress: address, Directory: f.directory,
		Transport: n.transport, Engines: fakeEngines{}, Sink: n, Document: n.document,
		EncodedDocument: n.encodedDocument, ApplyDocument: n.applyDocument, Metrics: n.metrics,
	})
	n.service.Register(n.transport)
	n.run(listener)
	f.nodes = append(f.nodes, n)
	f.directory.mu.Lock()
	f.directory.instances = append(f.directory.instances, topo.Instance{
		ID: id, Kind: topo.KindEntry, Region: region, Zone: zone, Address: address,
	})
	f.directory.mu.Unlock()
	return nil
}

func (f *Fleet) listen(i int) (net.Listener, func(context.Context, string) (net.Conn, error), error) {
	if f.size.TCP {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		return l, nil, errors.Wrap(err, "capacity: listen")
	}
	address := fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
	return f.network.Listen(address), f.network.Dialer(address), nil
}

// newDocument returns a configuration with the engines of the fleet and 1,100 workspaces, the number expected in two
// years.
func newDocument(size FleetSize) *config.Document {
	doc := &config.Document{Version: 1}
	for i := range 7 {
		doc.Models.Models = append(doc.Models.Models, config.Model{Name: fmt.Sprintf("model-%d", i), Version: "2026-11-30"})
	}
	for i := range size.Engines {
		region, zone := size.placement(i)
		address := fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250)
		doc.Models.Engines = append(doc.Models.Engines, config.Engine{
			ID: fmt.Sprintf("engine-%04d", i), Address: address, Region: region, Zone: zone, Accelerators: 4,
			Models: []string{doc.Models.Models[i%7].Name},
		})
	}
	for i := range 1100 {
		digest := fmt.Sprintf("%016x%016x%016x%016x", hash(i, 1), hash(i, 2), hash(i, 3), hash(i, 4))
		doc.Callers.Workspaces = append(doc.Callers.Workspaces, config.Workspace{
			Name: fmt.Sprintf("workspace-of-team-%d", i), KeySHA256: digest, Weight: 1, Priority: 5,
		})
	}
	return doc
}

func encode(doc *config.Document) []byte {
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err) // the types of the document can always be encoded
	}
	return data
}
