package claim

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
	"rhubarbpoint/topo/memtopo"
)

var errBroken = errors.New("upstream: connection broken")

// simulation is a store, instances with a network between them, and an upstream that counts the executions of orders.
type simulation struct {
	store *memtopo.Store
	ended chan struct{}

	mu             sync.Mutex
	random         *rand.Rand
	storeFaultRate float64 // probability that a store call fails
	netFaultRate   float64
	sendFaultRate  float64
	outage         bool
	procs          []*proc
	executions     map[string]int
	reportedNotRun map[string]string // by key: the process that reported it as not run, and the error code
	gotResponse    map[string]bool
	violations     []string
}

func newSimulation(seed uint64, skews []time.Duration) *simulation {
	sim := &simulation{
		ended: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 1)),
		executions: map[string]int{}, reportedNotRun: map[string]string{}, gotResponse: map[string]bool{},
	}
	sim.store = memtopo.New(memtopo.FaultFunc(sim.storeFault))
	for i, skew := range skews {
		p := &proc{sim: sim, id: fmt.Sprintf("entry-%d-7f3a9c21", i), skew: skew}
		sim.procs = append(sim.procs, p)
	}
	for _, p := range sim.procs {
		p.claimer = New(Options{Store: procStore{sim.store, p}, View: p, Peers: p, Now: p.now})
	}
	return sim
}

func (sim *simulation) stop() {
	close(sim.ended)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, p := range sim.procs {
		p.claimer.Stop(ctx)
	}
}

// clearFaults ends all faults of the store, the network and the upstream.
func (sim *simulation) clearFaults() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.outage, sim.storeFaultRate, sim.netFaultRate, sim.sendFaultRate = false, 0, 0, 0
}

// draw draws whether a fault occurs, a number from 0 to 1 that selects its kind, and a duration up to limit.
func (sim *simulation) draw(probability *float64, limit time.Duration) (bool, float64, time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.Float64() < *probability, sim.random.Float64(), time.Duration(sim.random.Float64() * float64(limit))
}

func (sim *simulation) storeFault(topo.Op, string) memtopo.Fault {
	faulty, kind, span := sim.draw(&sim.storeFaultRate, 6*time.Second)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	switch {
	case sim.outage:
		return memtopo.Fault{Refuse: true}
	case !faulty:
		return memtopo.Fault{Delay: 3 * time.Millisecond}
	case kind < 0.2:
		return memtopo.Fault{Refuse: true}
	case kind < 0.5:
		return memtopo.Fault{LoseResponse: true, Delay: span / 20}
	case kind < 0.9: // the call times out and is executed later
		return memtopo.Fault{Delay: 10 * time.Second, LateBy: span}
	}
	return memtopo.Fault{Delay: span / 4}
}

// proc is the process of one instance: its membership view, its peer calls and its clock.
type proc struct {
	sim     *simulation
	id      string
	skew    time.Duration
	claimer *Claimer

	mu          sync.Mutex
	dead        bool
	pausedUntil time.Time
}

func (p *proc) now() time.Time { return time.Now().Add(p.skew) }
func (p *proc) Self() string   { return p.id }

func (p *proc) Live() []*peerpb.Member {
	var live []*peerpb.Member
	for _, other := range p.sim.procs {
		if !other.isDead() {
			live = append(live, &peerpb.Member{Id: other.id})
		}
	}
	return live
}

func (p *proc) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

func (p *proc) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
}

func (p *proc) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil = time.Now().Add(d)
}

// awaitRunnable blocks while the process is paused. If the process is dead, it blocks until the end of the test. It
// returns false at the end of the test.
func (p *proc) awaitRunnable() bool {
	for {
		p.mu.Lock()
		dead, wait := p.dead, time.Until(p.pausedUntil)
		p.mu.Unlock()
		switch {
		case dead:
			<-p.sim.ended
			return false
		case wait <= 0:
			return true
		}
		select {
		case <-time.After(wait):
		case <-p.sim.ended:
			return false
		}
	}
}

// Call implements peer.Client. Under network faults, calls are lost before or after their execution, or executed late.
func (p *proc) Call(ctx context.Context, instance string, req *peerpb.Request) (*peerpb.Response, error) {
	if !p.awaitRunnable() {
		return nil, peer.ErrNotSent
	}
	faulty, kind, delay := p.sim.draw(&p.sim.netFaultRate, 8*time.Second)
	to := p.sim.find(instance)
	req = proto.CloneOf(req)
	switch {
	case to == nil, to.isDead(), faulty && kind < 0.3:
		return nil, peer.ErrNotSent
	case faulty && kind < 0.6: // executed late, even after the caller's context has ended
		go func() {
			time.Sleep(delay)
			to.handle(context.Background(), req)
		}()
		<-ctx.Done()
		return nil, peer.ErrNoResponse
	}
	time.Sleep(time.Millisecond)
	resp, err := to.handle(ctx, req)
	if faulty || err != nil || !p.awaitRunnable() {
		return nil, peer.ErrNoResponse
	}
	return proto.CloneOf(resp), nil
}

func (sim *simulation) find(id string) *proc {
	for _, p := range sim.procs {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (p *proc) handle(ctx context.Context, req *peerpb.Request) (*peerpb.Response, error) {
	if !p.awaitRunnable() {
		return nil, peer.ErrNoResponse
	}
	var resp *peerpb.Response
	var err error
	if req.GetClaim() != nil {
		resp, err = p.claimer.HandleClaim(ctx, req.GetFrom(), req)
	} else {
		resp, err = p.claimer.HandleAwaitOutcome(ctx, req.GetFrom(), req)
	}
	if !p.awaitRunnable() {
		return nil, peer.ErrNoResponse
	}
	return resp, err
}

// run sends a caller's request through the process and records the result that the caller gets.
func (p *proc) run(ctx context.Context, id string) (*Response, *Error) {
	if !p.awaitRunnable() {
		return nil, errUnknown("dead", "")
	}
	accepted := p.now()
	resp, err := p.claimer.Run(ctx, id, Fingerprint{1}, func(ctx context.Context) (*Response, error) {
		return p.send(ctx, id, accepted)
	})
	sim := p.sim
	if p.isDead() {
		return nil, errUnknown("dead", "")
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var failure *Error
	if err != nil && !errors.As(err, &failure) {
		sim.violations = append(sim.violations, fmt.Sprintf("%s: error has the wrong type %T", id, err))
	}
	if failure != nil && failure.Run == NotRun {
		sim.reportedNotRun[id] = p.id + " " + failure.Code
	}
	if resp != nil {
		sim.gotResponse[id] = true
		if string(resp.Body) != id {
			sim.violations = append(sim.violations, id+": got the response to another order")
		}
	}
	return resp, failure
}

// send is the SendFunc. It simulates an upstream that counts executions, and connections that break before or after an
// execution.
func (p *proc) send(ctx context.Context, id string, accepted time.Time) (*Response, error) {
	if !p.awaitRunnable() {
		return nil, errBroken
	}
	sim := p.sim
	faulty, kind, delay := sim.draw(&sim.sendFaultRate, 3*time.Second)
	if faulty && kind < 0.3 {
		return nil, errors.Mark(errBroken, ErrNotSent)
	}
	time.Sleep(delay)
	if !p.awaitRunnable() || faulty && kind < 0.6 {
		return nil, errBroken
	}
	sim.mu.Lock()
	sim.executions[id]++
	if !mustKey(id).inWindow(accepted) {
		sim.violations = append(sim.violations, id+": executed although its key had expired")
	}
	sim.mu.Unlock()
	if !p.awaitRunnable() || faulty {
		return nil, errBroken
	}
	return &Response{Status: 200, Body: []byte(id)}, nil
}

// check is the test oracle: it returns the violations of the at-most-once guarantee.
func (sim *simulation) check() []string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for id, n := range sim.executions {
		if n > 1 {
			sim.violations = append(sim.violations, fmt.Sprintf("%s: executed %d times", id, n))
		}
		if by := sim.reportedNotRun[id]; by != "" {
			sim.violations = append(sim.violations, fmt.Sprintf("%s: executed, but reported as not_run by %s", id, by))
		}
	}
	for id := range sim.gotResponse {
		if sim.executions[id] == 0 {
			sim.violations = append(sim.violations, id+": got a response but was never executed")
		}
	}
	return sim.violations
}

// procStore is the store as seen by one process: calls block while the process is paused, and have no further effect
// once it is dead.
type procStore struct {
	*memtopo.Store
	proc *proc
}

func (s procStore) Get(ctx context.Context, name string) (topo.Entry, error) {
	if !s.proc.awaitRunnable() {
		return topo.Entry{}, topo.ErrUnavailable
	}
	entry, err := s.Store.Get(ctx, name)
	if !s.proc.awaitRunnable() {
		return topo.Entry{}, topo.ErrUnavailable
	}
	return entry, err
}

func (s procStore) Put(ctx context.Context, name string, value []byte, expect int64, lease topo.LeaseID) (int64, error) {
	if !s.proc.awaitRunnable() {
		return 0, topo.ErrAmbiguous
	}
	// A process that was paused here sends its write even though the timeout of the call has passed.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	revision, err := s.Store.Put(ctx, name, value, expect, lease)
	if !s.proc.awaitRunnable() {
		return 0, topo.ErrAmbiguous
	}
	return revision, err
}

// newKey returns a random key with a timestamp. With partition0 set, its partition is 0, so that keys whose minutes are
// 16 apart share a slot.
func newKey(random *rand.Rand, at time.Time, partition0 bool) string {
	for {
		var id key
		binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16|0x7000|uint64(random.IntN(1<<12)))
		binary.BigEndian.PutUint64(id[8:], 1<<63|random.Uint64()>>2)
		if !partition0 || id.partition() == 0 {
			return uuid.UUID(id).String()
		}
	}
}

func mustKey(text string) key {
	id, err := parseKey(text)
	if err != nil {
		panic(err)
	}
	return id
}
