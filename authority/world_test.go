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

// world is one region: a store, an instance list, instances with links between them, and two engines, of which one
// checks fencing numbers.
type world struct {
	store     *memtopo.Store
	directory *memtopo.Directory
	engines   map[string]*fakeEngine
	running   sync.WaitGroup
	ended     chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	bad     float64 // probability of a fault of each call
	outage  bool
	procs   []*proc
	cut     map[[2]string]bool
	started map[string]time.Time // of each order
	failed  map[string]error     // orders of which the holder was told that they will have no effect any more
	faults  []string
	// onCall, if set, is told of calls that are about to leave a process: an order to the gate, to an engine, or a write
	// of the journal.
	onCall func(kind string, p *proc, order string)
}

func newWorld(seed uint64, procs int) *world {
	w := &world{
		directory: memtopo.NewDirectory(5 * time.Second), ended: make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{}, started: map[string]time.Time{},
		failed: map[string]error{},
	}
	w.store = memtopo.New(memtopo.FaultFunc(w.storeFault))
	w.engines = map[string]*fakeEngine{"checking": {world: w, checks: true}, "plain": {world: w}}
	for range procs {
		w.spawn()
	}
	return w
}

func (w *world) stop() {
	close(w.ended)
	for _, p := range w.all() {
		p.cancel()
	}
	w.running.Wait()
}

func (w *world) all() []*proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*proc{}, w.procs...)
}

// spawn starts an instance and lists it.
func (w *world) spawn() *proc {
	w.mu.Lock()
	p := &proc{world: w, id: fmt.Sprintf("p%d", len(w.procs)), checked: map[int64]time.Time{}}
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.Background())
	opts := Options{
		Region: "r", Store: procStore{w.store, p}, Processes: ListedProcesses{w.directory}, View: p, Peers: p,
		Engines: procEngines{proc: p}, EngineConfigs: w.config,
	}
	gateOpts := opts
	gateOpts.Store = gateStore{procStore{w.store, p}}
	p.gate = NewGate(gateOpts)
	p.holder = NewHolder(opts, p.gate)
	w.list()
	w.running.Go(func() { p.holder.Run(ctx) })
	return p
}

// list sets the instance list to the processes that have not ended.
func (w *world) list() {
	var listed []topo.Instance
	for _, p := range w.all() {
		if !p.isDead() {
			listed = append(listed, topo.Instance{ID: p.id, Kind: topo.KindEntry, Region: "r"})
		}
	}
	w.directory.Set(listed)
}

func (w *world) config() []config.Engine {
	return []config.Engine{
		{ID: "checking", Address: "checking", Region: "r", ChecksFence: true}, {ID: "plain", Address: "plain", Region: "r"},
	}
}

func (w *world) fault(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) hook(kind string, p *proc, order string) {
	w.mu.Lock()
	onCall := w.onCall
	w.mu.Unlock()
	if onCall != nil {
		onCall(kind, p, order)
	}
}

func (w *world) chance(limit time.Duration) (bad bool, kind float64, span time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < w.bad, w.random.Float64(), time.Duration(w.random.Float64() * float64(limit))
}

func (w *world) storeFault(op topo.Op, _ string) memtopo.Fault {
	bad, kind, span := w.chance(6 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.outage, bad && kind < 0.3:
		return memtopo.Fault{Refuse: true}
	case !bad || op == topo.OpNone:
		return memtopo.Fault{Delay: time.Millisecond}
	case kind < 0.6:
		return memtopo.Fault{LoseAnswer: true}
	}
	return memtopo.Fault{Delay: 20 * time.Second, Late: span}
}

// wasChecked says that the process has read from the store, as a gate and since the order was given, that its number
// holds.
func (w *world) wasChecked(p *proc, o *engine.Order) bool {
	w.mu.Lock()
	started, known := w.started[o.ID]
	w.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	at, checked := p.checked[o.Fence]
	return known && checked && !at.Before(started)
}

// order gives an order at a process.
func (w *world) order(p *proc, engineID, id string) error {
	w.mu.Lock()
	w.started[id] = time.Now()
	delete(w.failed, id)
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err := p.holder.Apply(ctx, engineID, engine.Order{ID: id, Kind: engine.OrderRole, Role: engine.RoleDecode})
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil && !errors.Is(err, ErrUnresolved) && !p.isDead() {
		w.failed[id] = err
	}
	return err
}

func (w *world) hasFailed(id string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed[id]
}

// current waits for a holder.
func (w *world) current() *proc {
	for {
		for _, p := range w.all() {
			if _, holding := p.holder.FencingToken(); holding && !p.isDead() && !p.isPaused() {
				return p
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// proc is one instance: its membership view and its peer calls.
type proc struct {
	world  *world
	id     string
	holder *Holder
	gate   *Gate
	cancel context.CancelFunc

	mu      sync.Mutex
	dead    bool
	leaving bool
	resumes time.Time
	checked map[int64]time.Time // fence to the last time at which the gate read it from the store
}

func (p *proc) Self() string { return p.id }

func (p *proc) Live() []*peerpb.Member {
	var live []*peerpb.Member
	for _, other := range p.world.all() {
		if !other.isDead() {
			other.mu.Lock()
			live = append(live, &peerpb.Member{Id: other.id, Region: "r", Leaving: other.leaving})
			other.mu.Unlock()
		}
	}
	return live
}

func (p *proc) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

func (p *proc) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.resumes)
}

func (p *proc) kill() {
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.world.list()
}

func (p *proc) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resumes = time.Now().Add(d)
}

// step blocks while the process is paused. It returns false when the process is dead, after the end of the test.
func (p *proc) step() bool {
	for {
		p.mu.Lock()
		dead, wait := p.dead, time.Until(p.resumes)
		p.mu.Unlock()
		switch {
		case dead:
			<-p.world.ended
			return false
		case wait <= 0:
			return true
		}
		select {
		case <-time.After(wait):
		case <-p.world.ended:
			return false
		}
	}
}

// Call implements peer.Caller. Calls are lost before or after they are executed, or are executed late.
func (p *proc) Call(ctx context.Context, instance string, req *peerpb.Request) (*peerpb.Response, error) {
	w := p.world
	if order := req.GetForwardOrder(); order != nil {
		w.hook("forward", p, order.GetOrderId())
	}
	if !p.step() {
		return nil, peer.ErrNotSent
	}
	bad, kind, delay := w.chance(20 * time.Second)
	var to *proc
	w.mu.Lock()
	for _, other := range w.procs {
		if other.id == instance && !w.cut[[2]string{p.id, instance}] {
			to = other
		}
	}
	w.mu.Unlock()
	req = proto.CloneOf(req)
	switch {
	case to == nil, to.isDead(), bad && kind < 0.3:
		return nil, peer.ErrNotSent
	case bad && kind < 0.6:
		w.running.Go(func() {
			time.Sleep(delay)
			to.handle(context.Background(), req)
		})
		return nil, peer.ErrNoAnswer
	}
	time.Sleep(time.Millisecond)
	answer := make(chan *peerpb.Response, 1)
	w.running.Go(func() { answer <- to.handle(ctx, req) })
	select {
	case resp := <-answer:
		if resp != nil && !bad && p.step() {
			return resp, nil
		}
	case <-ctx.Done():
	}
	return nil, peer.ErrNoAnswer
}

func (p *proc) handle(ctx context.Context, req *peerpb.Request) *peerpb.Response {
	if !p.step() {
		return nil
	}
	handler := p.gate.HandleForwardOrder
	if req.GetRegisterFence() != nil {
		handler = p.gate.HandleRegisterFence
	}
	resp, err := handler(ctx, req.GetFrom(), req)
	if err != nil || !p.step() {
		return nil
	}
	return resp
}
