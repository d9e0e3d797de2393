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

// world is a store, instances with a network between them, and an upstream that counts executions.
type world struct {
	store *memtopo.Store
	ended chan struct{}

	mu         sync.Mutex
	random     *rand.Rand
	storeBad   float64 // probability of a fault of a store call
	netBad     float64
	sendBad    float64
	outage     bool
	procs      []*proc
	executions map[string]int
	notRun     map[string]string // key told to be not run: by whom
	answered   map[string]bool
	faults     []string
}

func newWorld(seed uint64, skews []time.Duration) *world {
	w := &world{
		ended: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 1)),
		executions: map[string]int{}, notRun: map[string]string{}, answered: map[string]bool{},
	}
	w.store = memtopo.New(memtopo.FaultFunc(w.storeFault))
	for i, skew := range skews {
		p := &proc{world: w, id: fmt.Sprintf("entry-%d-7f3a9c21", i), skew: skew}
		w.procs = append(w.procs, p)
	}
	for _, p := range w.procs {
		p.claimer = New(Options{Store: procStore{w.store, p}, View: p, Peers: p, Now: p.now})
	}
	return w
}

func (w *world) stop() {
	close(w.ended)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, p := range w.procs {
		p.claimer.Stop(ctx)
	}
}

// heal ends the faults of store, network and upstream.
func (w *world) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outage, w.storeBad, w.netBad, w.sendBad = false, 0, 0, 0
}

// chance draws whether something happens, and a duration up to limit.
func (w *world) chance(probability *float64, limit time.Duration) (bool, float64, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < *probability, w.random.Float64(), time.Duration(w.random.Float64() * float64(limit))
}

func (w *world) storeFault(topo.Op, string) memtopo.Fault {
	bad, kind, span := w.chance(&w.storeBad, 6*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.outage:
		return memtopo.Fault{Refuse: true}
	case !bad:
		return memtopo.Fault{Delay: 3 * time.Millisecond}
	case kind < 0.2:
		return memtopo.Fault{Refuse: true}
	case kind < 0.5:
		return memtopo.Fault{LoseAnswer: true, Delay: span / 20}
	case kind < 0.9: // given up after the call's timeout, and executed later
		return memtopo.Fault{Delay: 10 * time.Second, Late: span}
	}
	return memtopo.Fault{Delay: span / 4}
}

// proc is one instance: its membership view, its peer calls and its clock.
type proc struct {
	world   *world
	id      string
	skew    time.Duration
	claimer *Claimer

	mu      sync.Mutex
	dead    bool
	resumes time.Time
}

func (p *proc) now() time.Time { return time.Now().Add(p.skew) }
func (p *proc) Self() string   { return p.id }

func (p *proc) Live() []*peerpb.Member {
	var live []*peerpb.Member
	for _, other := range p.world.procs {
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
	if !p.step() {
		return nil, peer.ErrNotSent
	}
	bad, kind, delay := p.world.chance(&p.world.netBad, 8*time.Second)
	to := p.world.find(instance)
	req = proto.CloneOf(req)
	switch {
	case to == nil, to.isDead(), bad && kind < 0.3:
		return nil, peer.ErrNotSent
	case bad && kind < 0.6: // executed late, after the caller has given up
		go func() {
			time.Sleep(delay)
			to.handle(context.Background(), req)
		}()
		<-ctx.Done()
		return nil, peer.ErrNoAnswer
	}
	time.Sleep(time.Millisecond)
	resp, err := to.handle(ctx, req)
	if bad || err != nil || !p.step() {
		return nil, peer.ErrNoAnswer
	}
	return proto.CloneOf(resp), nil
}

func (w *world) find(id string) *proc {
	for _, p := range w.procs {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (p *proc) handle(ctx context.Context, req *peerpb.Request) (*peerpb.Response, error) {
	if !p.step() {
		return nil, peer.ErrNoAnswer
	}
	var resp *peerpb.Response
	var err error
	if req.GetClaim() != nil {
		resp, err = p.claimer.HandleClaim(ctx, req.GetFrom(), req)
	} else {
		resp, err = p.claimer.HandleAwaitOutcome(ctx, req.GetFrom(), req)
	}
	if !p.step() {
		return nil, peer.ErrNoAnswer
	}
	return resp, err
}

// run sends one caller's request through the process and notes what the caller is told.
func (p *proc) run(ctx context.Context, id string) (*Response, *Error) {
	if !p.step() {
		return nil, errUnknown("dead", "")
	}
	accepted := p.now()
	answer, err := p.claimer.Run(ctx, id, Fingerprint{1}, func(ctx context.Context) (*Response, error) {
		return p.send(ctx, id, accepted)
	})
	w := p.world
	if p.isDead() {
		return nil, errUnknown("dead", "")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var failure *Error
	if err != nil && !errors.As(err, &failure) {
		w.faults = append(w.faults, fmt.Sprintf("%s: error of wrong type %T", id, err))
	}
	if failure != nil && failure.Run == NotRun {
		w.notRun[id] = p.id + " " + failure.Code
	}
	if answer != nil {
		w.answered[id] = true
		if string(answer.Body) != id {
			w.faults = append(w.faults, id+": answer of another order")
		}
	}
	return answer, failure
}

// send is the SendFunc: the upstream that records executions, with connections that break before or after them.
func (p *proc) send(ctx context.Context, id string, accepted time.Time) (*Response, error) {
	if !p.step() {
		return nil, errBroken
	}
	w := p.world
	bad, kind, delay := w.chance(&w.sendBad, 3*time.Second)
	if bad && kind < 0.3 {
		return nil, errors.Mark(errBroken, ErrNotSent)
	}
	time.Sleep(delay)
	if !p.step() || bad && kind < 0.6 {
		return nil, errBroken
	}
	w.mu.Lock()
	w.executions[id]++
	if !mustKey(id).within(accepted) {
		w.faults = append(w.faults, id+": executed although expired")
	}
	w.mu.Unlock()
	if !p.step() || bad {
		return nil, errBroken
	}
	return &Response{Status: 200, Body: []byte(id)}, nil
}

// check returns what went wrong: the oracle.
func (w *world) check() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range w.executions {
		if n > 1 {
			w.faults = append(w.faults, fmt.Sprintf("%s: executed %d times", id, n))
		}
		if by := w.notRun[id]; by != "" {
			w.faults = append(w.faults, fmt.Sprintf("%s: executed, but %s told a caller not_run", id, by))
		}
	}
	for id := range w.answered {
		if w.executions[id] == 0 {
			w.faults = append(w.faults, id+": answered but never executed")
		}
	}
	return w.faults
}

// procStore is the store as a process sees it: calls of a dead process have no further effect.
type procStore struct {
	*memtopo.Store
	proc *proc
}

func (s procStore) Get(ctx context.Context, name string) (topo.Entry, error) {
	if !s.proc.step() {
		return topo.Entry{}, topo.ErrUnavailable
	}
	entry, err := s.Store.Get(ctx, name)
	if !s.proc.step() {
		return topo.Entry{}, topo.ErrUnavailable
	}
	return entry, err
}

func (s procStore) Put(ctx context.Context, name string, value []byte, expect int64, lease topo.LeaseID) (int64, error) {
	if !s.proc.step() {
		return 0, topo.ErrAmbiguous
	}
	// A process that was paused here sends its write although its timeout is over.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	revision, err := s.Store.Put(ctx, name, value, expect, lease)
	if !s.proc.step() {
		return 0, topo.ErrAmbiguous
	}
	return revision, err
}

// newKey returns a key of a time. With narrow set, its partition is 0, so that minutes 16 apart share a slot.
func newKey(random *rand.Rand, at time.Time, narrow bool) string {
	for {
		var id key
		binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16|0x7000|uint64(random.IntN(1<<12)))
		binary.BigEndian.PutUint64(id[8:], 1<<63|random.Uint64()>>2)
		if !narrow || id.partition() == 0 {
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
