// Package fleet starts a small fleet of separate processes on loopback: stand-ins for the platform, engines and order
// services, and entry instances. The demo and the tests with real processes use it; the product itself starts no
// process.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
	"rhubarbpoint/settings"
	"rhubarbpoint/topo"
)

const (
	readyTimeout = 30 * time.Second
	stopTimeout  = 10 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Fleet is a set of running processes. It is not safe for concurrent use.
type Fleet struct {
	opts  Options
	ports *portBlock
	http  *http.Client
	logs  []*os.File

	Platform *Node
	Engines  []*Node
	Services []*Node
	Entries  []*Node
}

// Start starts all processes and waits until every entry instance is ready; Options.RoutesFromPlatform changes that.
// The caller must call Stop, also after an error, unless the fleet is nil.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	ports, err := reservePorts()
	if err != nil {
		return nil, err
	}
	f := &Fleet{opts: opts, ports: ports, http: &http.Client{Timeout: 2 * time.Second}}
	steps := []func(context.Context) error{f.startPlatform, f.startUpstreams, f.startEntries, f.applyDocument, f.waitReady}
	if opts.RoutesFromPlatform {
		steps = []func(context.Context) error{f.startPlatform, f.startEntries}
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return f, err
		}
	}
	return f, nil
}

// Stop kills all processes, entry instances first.
func (f *Fleet) Stop() {
	nodes := append(append(append([]*Node{}, f.Entries...), f.Engines...), f.Services...)
	if f.Platform != nil {
		nodes = append(nodes, f.Platform)
	}
	for _, n := range nodes {
		n.Resume()
		n.Kill()
	}
	for _, n := range nodes {
		_ = n.WaitExit(stopTimeout)
	}
	for _, log := range f.logs {
		log.Close()
	}
	f.ports.close()
}

// entryProgram is the name of the program of the entry instances.
const entryProgram = "rhubarbpoint"

func (f *Fleet) start(id, program string, args ...string) (*Process, error) {
	// A process that is started again appends to its previous log.
	log, err := os.OpenFile(filepath.Join(f.opts.Dir, id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: log file")
	}
	f.logs = append(f.logs, log)
	path, env := filepath.Join(f.opts.Bin, program), []string(nil)
	if f.opts.Env != nil {
		env = f.opts.Env(id)
	}
	if program == entryProgram && f.opts.EntryProgram != "" {
		path = f.opts.EntryProgram
	}
	return startProcess(id, log, env, path, args...)
}

func (f *Fleet) startPlatform(context.Context) error {
	addr, err := f.ports.address()
	if err != nil {
		return err
	}
	p, err := f.start("platform", "standin", "platform", "-listen", addr, "-list-lag", f.opts.ListLag.String())
	if err != nil {
		return err
	}
	f.Platform = &Node{Process: p, ID: "platform", Address: addr}
	return f.waitListening(addr)
}

func (f *Fleet) startUpstreams(context.Context) error {
	for r := range f.opts.Regions {
		for i := range f.opts.EnginesPerRegion {
			n, err := f.startStandin(fmt.Sprintf("engine-%d-%d", r+1, i+1), RegionName(r), "engine", f.opts.EngineArgs...)
			if err != nil {
				return err
			}
			f.Engines = append(f.Engines, n)
		}
		for i := range f.opts.ServicesPerRegion {
			n, err := f.startStandin(fmt.Sprintf("orders-%d-%d", r+1, i+1), RegionName(r), "orders")
			if err != nil {
				return err
			}
			f.Services = append(f.Services, n)
		}
	}
	return nil
}

func (f *Fleet) startStandin(id, region, kind string, args ...string) (*Node, error) {
	addr, err := f.ports.address()
	if err != nil {
		return nil, err
	}
	n := &Node{ID: id, Region: region, Address: addr}
	if n.Process, err = f.start(id, "standin", append([]string{kind, "-listen", addr, "-id", id}, args...)...); err != nil {
		return nil, err
	}
	return n, f.waitListening(addr)
}

// RestartEngine starts an engine that has ended again, on the same address.
func (f *Fleet) RestartEngine(n *Node) error {
	p, err := f.start(n.ID, "standin", append([]string{"engine", "-listen", n.Address, "-id", n.ID}, f.opts.EngineArgs...)...)
	if err != nil {
		return err
	}
	n.Process = p
	return f.waitListening(n.Address)
}

func (f *Fleet) startEntries(context.Context) error {
	for r := range f.opts.Regions {
		for i := range f.opts.EntriesPerRegion {
			n := &Node{ID: fmt.Sprintf("entry-%d-%d", r+1, i+1), Region: RegionName(r)}
			for _, addr := range []*string{&n.Address, &n.Peer, &n.Operator} {
				var err error
				if *addr, err = f.ports.address(); err != nil {
					return err
				}
			}
			f.Entries = append(f.Entries, n)
		}
	}
	for _, n := range f.Entries {
		if err := f.StartEntry(n); err != nil {
			return err
		}
	}
	for _, n := range f.Entries {
		if err := f.waitListening(n.Operator); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts an entry instance, or starts it again after it has ended.
func (f *Fleet) StartEntry(n *Node) error {
	s := settings.Settings{
		Instance: n.ID, Region: n.Region, Zone: ZoneName(n.Region),
		CallerListen: n.Address, PeerListen: n.Peer, OperatorListen: n.Operator,
		Platform: f.Platform.Address, DrainDelay: config.Duration(f.opts.DrainDelay),
	}
	if f.opts.RoutesFromPlatform {
		s.Routes = settings.RoutesFromPlatform
		s.MemoryMB = f.opts.MemoryMB
		s.RevokeWithin = config.Duration(f.opts.RevokeWithin)
		s.Zones = []settings.Zone{{Name: ZoneName(n.Region), Region: n.Region}}
	}
	var err error
	if s.Platform, err = f.linkAddress(n, f.Platform.ID, s.Platform); err != nil {
		return err
	}
	for _, other := range f.Entries {
		if other == n {
			continue
		}
		peer, err := f.linkAddress(n, other.ID, other.Peer)
		if err != nil {
			return err
		}
		s.Peers = append(s.Peers, peer)
	}
	data, err := json.MarshalIndent(&s, "", "  ")
	if err != nil {
		return errors.Wrap(err, "fleet: settings")
	}
	path := filepath.Join(f.opts.Dir, n.ID+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return errors.Wrap(err, "fleet: settings")
	}
	n.Process, err = f.start(n.ID, entryProgram, "serve", "-settings", path)
	return err
}

func (f *Fleet) linkAddress(from *Node, to, address string) (string, error) {
	if f.opts.Link == nil {
		return address, nil
	}
	return f.opts.Link(from.ID, to, address)
}

func (f *Fleet) waitListening(addr string) error {
	return f.poll(func() bool {
		resp, err := f.http.Get("http://" + addr + "/")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return true
	}, "nothing listens on "+addr)
}

func (f *Fleet) waitReady(context.Context) error {
	for _, n := range f.Entries {
		if err := f.WaitReady(n); err != nil {
			return err
		}
	}
	return nil
}

// WaitListening waits until the operator listener of an entry instance responds.
func (f *Fleet) WaitListening(n *Node) error { return f.waitListening(n.Operator) }

// WaitReady waits until an entry instance reports that it is ready. It returns an error after a timeout.
func (f *Fleet) WaitReady(n *Node) error {
	return f.poll(func() bool { return f.Ready(n) }, n.ID+" is not ready")
}

// Ready reports whether the readiness check of an entry instance succeeds.
func (f *Fleet) Ready(n *Node) bool {
	resp, err := f.http.Get("http://" + n.Operator + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *Fleet) poll(done func() bool, failure string) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if done() {
			return nil
		}
	}
	return errors.Newf("fleet: %s after %s", failure, readyTimeout)
}

// Admin calls an admin endpoint of a stand-in, which injects faults or changes the instance list.
func (f *Fleet) Admin(ctx context.Context, n *Node, method, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "fleet: admin call")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.Address+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "fleet: admin call")
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "fleet: admin call")
	}
	resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Newf("fleet: admin call %s %s to %s: status %d", method, path, n.ID, resp.StatusCode)
	}
	return nil
}

// Register adds an instance to the platform's instance list.
func (f *Fleet) Register(ctx context.Context, instance topo.Instance) error {
	return f.Admin(ctx, f.Platform, http.MethodPut, "/admin/instances", instance)
}
