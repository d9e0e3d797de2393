package authority

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
	"rhubarbpoint/topo/memtopo"
)

// cluster simulates one region: a store, an instance list, instances that call each other, and two engines, of which
// one checks fencing tokens.
type cluster struct {
	store      *memtopo.Store
	directory  *memtopo.Directory
	engines    map[string]*fakeEngine
	goroutines sync.WaitGroup
	ended      chan struct{}

	mu            sync.Mutex
	random        *rand.Rand
	faultRate     float64 // probability that a call is faulty
	outage        bool    // whether the store refuses all calls
	processes     []*process
	disconnected  map[[2]string]bool   // pairs of processes of which the first can't call the second
	startedOrders map[string]time.Time // by order ID, when Apply was called
	failedOrders  map[string]error     // by order ID, an error of Apply after which the order must have no effect
	violations    []string             // violated invariants
	// onCall, if set, is called just before a call leaves a process. The kinds are "journal" (a write of an outstanding
	// order to the journal), "forward" (an order to a gate) and "order" (an order to an engine).
	onCall func(kind string, p *process, order string)
}

func newCluster(seed uint64, processes int) *cluster {
	c := &cluster{
		directory: memtopo.NewDirectory(5 * time.Second), ended: make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, 1)), disconnected: map[[2]string]bool{}, startedOrders: map[string]time.Time{},
		failedOrders: map[string]error{},
	}
	c.store = memtopo.New(memtopo.FaultFunc(c.storeFault))
	c.engines = map[string]*fakeEngine{"checking": {cluster: c, checksFence: true}, "plain": {cluster: c}}
	for range processes {
		c.spawn()
	}
	return c
}

func (c *cluster) stop() {
	close(c.ended)
	for _, p := range c.allProcesses() {
		p.cancel()
	}
	c.goroutines.Wait()
}

func (c *cluster) allProcesses() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*process{}, c.processes...)
}

// spawn starts an instance and adds it to the instance list.
func (c *cluster) spawn() *process {
	c.mu.Lock()
	p := &process{cluster: c, id: fmt.Sprintf("p%d", len(c.processes)), fencesRead: map[int64]time.Time{}}
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.Background())
	opts := Options{
		Region: "r", Store: processStore{c.store, p}, Processes: ListedProcesses{c.directory}, View: p, Peers: p,
		Engines: processEngines{process: p}, EngineConfigs: c.config,
	}
	gateOpts := opts
	gateOpts.Store = gateStore{processStore{c.store, p}}
	p.gate = NewGate(gateOpts)
	p.holder = NewLeaseHolder(opts, p.gate)
	c.updateDirectory()
	c.goroutines.Go(func() { p.holder.Run(ctx) })
	return p
}

// updateDirectory sets the instance list to the processes that are not dead.
func (c *cluster) updateDirectory() {
	var listed []topo.Instance
	for _, p := range c.allProcesses() {
		if !p.isDead() {
			listed = append(listed, topo.Instance{ID: p.id, Kind: topo.KindEntry, Region: "r"})
		}
	}
	c.directory.Set(listed)
}

func (c *cluster) config() []config.Engine {
	return []config.Engine{
		{ID: "checking", Address: "checking", Region: "r", ChecksFence: true}, {ID: "plain", Address: "plain", Region: "r"},
	}
}

// addViolation records that an invariant was violated.
func (c *cluster) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// beforeCall runs onCall, if set.
func (c *cluster) beforeCall(kind string, p *process, order string) {
	c.mu.Lock()
	onCall := c.onCall
	c.mu.Unlock()
	if onCall != nil {
		onCall(kind, p, order)
	}
}

// drawFault decides at random whether a call is faulty, the kind of its fault, and a duration up to limit.
func (c *cluster) drawFault(limit time.Duration) (faulty bool, kind float64, duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < c.faultRate, c.random.Float64(), time.Duration(c.random.Float64() * float64(limit))
}

func (c *cluster) storeFault(op topo.Op, _ string) memtopo.Fault {
	faulty, kind, lateness := c.drawFault(6 * time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.outage, faulty && kind < 0.3:
		return memtopo.Fault{Refuse: true}
	case !faulty || op == topo.OpNone:
		return memtopo.Fault{Delay: time.Millisecond}
	case kind < 0.6:
		return memtopo.Fault{LoseResponse: true}
	}
	return memtopo.Fault{Delay: 20 * time.Second, LateBy: lateness}
}

// fenceWasChecked reports whether the process, as a gate, has read from the store since the order was given that the
// order's fencing token is that of the region.
func (c *cluster) fenceWasChecked(p *process, o *engine.Order) bool {
	c.mu.Lock()
	started, known := c.startedOrders[o.ID]
	c.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	at, checked := p.fencesRead[o.Fence]
	return known && checked && !at.Before(started)
}

// applyOrder gives an order to an engine through the Holder of a process. Unless the outcome is unresolved or the
// process has died, an error means that the order must have no effect from then on.
func (c *cluster) applyOrder(p *process, engineID, id string) error {
	c.mu.Lock()
	c.startedOrders[id] = time.Now()
	delete(c.failedOrders, id)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err := p.holder.Apply(ctx, engineID, engine.Order{ID: id, Kind: engine.OrderRole, Role: engine.RoleDecode})
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !errors.Is(err, ErrUnresolved) && !p.isDead() {
		c.failedOrders[id] = err
	}
	return err
}

// orderFailure returns the error after which an order must have no effect, or nil.
func (c *cluster) orderFailure(id string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failedOrders[id]
}

// currentHolder waits until a process that is neither dead nor paused is the holder, and returns it.
func (c *cluster) currentHolder() *process {
	for {
		for _, p := range c.allProcesses() {
			if _, holding := p.holder.FencingToken(); holding && !p.isDead() && !p.isPaused() {
				return p
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// process is one instance. It implements the membership view and the peer calls of its Holder and Gate.
type process struct {
	cluster *cluster
	id      string
	holder  *LeaseHolder
	gate    *Gate
	cancel  context.CancelFunc

	mu          sync.Mutex
	dead        bool
	leaving     bool
	pausedUntil time.Time
	fencesRead  map[int64]time.Time // by fencing token, when the gate last read it from the store
}

func (p *process) Self() string { return p.id }

func (p *process) Live() []*peerpb.Member {
	var live []*peerpb.Member
	for _, other := range p.cluster.allProcesses() {
		if !other.isDead() {
			other.mu.Lock()
			live = append(live, &peerpb.Member{Id: other.id, Region: "r", Leaving: other.leaving})
			other.mu.Unlock()
		}
	}
	return live
}

func (p *process) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

func (p *process) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.pausedUntil)
}

// kill ends the process without a graceful stop.
func (p *process) kill() {
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.cluster.updateDirectory()
}

func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil = time.Now().Add(d)
}

// waitWhilePaused blocks while the process is paused and returns true. For a dead process it returns false, and only
// after the end of the test.
func (p *process) waitWhilePaused() bool {
	for {
		p.mu.Lock()
		dead, wait := p.dead, time.Until(p.pausedUntil)
		p.mu.Unlock()
		switch {
		case dead:
			<-p.cluster.ended
			return false
		case wait <= 0:
			return true
		}
		select {
		case <-time.After(wait):
		case <-p.cluster.ended:
			return false
		}
	}
}

// Call implements peer.Caller. A faulty call is lost before or after it is executed, or is executed late.
func (p *process) Call(ctx context.Context, instance string, req *peerpb.Request) (*peerpb.Response, error) {
	c := p.cluster
	if order := req.GetForwardOrder(); order != nil {
		c.beforeCall("forward", p, order.GetOrderId())
	}
	if !p.waitWhilePaused() {
		return nil, peer.ErrNotSent
	}
	faulty, kind, delay := c.drawFault(20 * time.Second)
	var target *process
	c.mu.Lock()
	for _, other := range c.processes {
		if other.id == instance && !c.disconnected[[2]string{p.id, instance}] {
			target = other
		}
	}
	c.mu.Unlock()
	req = proto.CloneOf(req)
	switch {
	case target == nil, target.isDead(), faulty && kind < 0.3:
		return nil, peer.ErrNotSent
	case faulty && kind < 0.6:
		c.goroutines.Go(func() {
			time.Sleep(delay)
			target.handle(context.Background(), req)
		})
		return nil, peer.ErrNoResponse
	}
	time.Sleep(time.Millisecond)
	response := make(chan *peerpb.Response, 1)
	c.goroutines.Go(func() { response <- target.handle(ctx, req) })
	select {
	case resp := <-response:
		if resp != nil && !faulty && p.waitWhilePaused() {
			return resp, nil
		}
	case <-ctx.Done():
	}
	return nil, peer.ErrNoResponse
}

// handle runs the gate's handler for a call. It returns nil when the call gets no response.
func (p *process) handle(ctx context.Context, req *peerpb.Request) *peerpb.Response {
	if !p.waitWhilePaused() {
		return nil
	}
	handler := p.gate.HandleForwardOrder
	if req.GetRegisterFence() != nil {
		handler = p.gate.HandleRegisterFence
	}
	resp, err := handler(ctx, req.GetFrom(), req)
	if err != nil || !p.waitWhilePaused() {
		return nil
	}
	return resp
}
