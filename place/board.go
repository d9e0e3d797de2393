// Package place chooses a replica for each routed request, from the requests that this instance has sent, the load that
// replicas state in their answers, and an estimate of their prefix caches. It answers uneven load: replicas with a queue,
// prompts that only some replicas have cached, and bursts of long prompts beside short ones. Decisions depend only on the
// board and the given time.
package place

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbpoint/internal/partcache"
	"rhubarbpoint/relay"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// Options set up a board.
type Options struct {
	// Region and Zone are those of this instance.
	Region, Zone string
	// Seed makes the random choices repeatable.
	Seed uint64
}

// Balancer holds the load of the replicas as one instance knows it. It is safe for concurrent use; its lock is a leaf.
type Balancer struct {
	opts Options

	mu     sync.Mutex
	random *rand.Rand
	loads  map[upstream.Incarnation]*load
	paces  map[string]*pace
}

// NewBalancer returns an empty board.
func NewBalancer(opts Options) *Balancer {
	return &Balancer{
		opts: opts, random: rand.New(rand.NewPCG(opts.Seed, 0x9e3779b97f4a7c15)),
		loads: make(map[upstream.Incarnation]*load), paces: make(map[string]*pace),
	}
}

// SplitPoint returns a number in [0,1) for the choice between the services of a route.
func (b *Balancer) SplitPoint() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Float64()
}

// Forget drops what is known of replicas that are gone.
func (b *Balancer) Forget(gone func(upstream.Incarnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.loads, func(start upstream.Incarnation, l *load) bool { return l.inFlight == 0 && gone(start) })
}

// Choose returns the placement of a request among the replicas of a service. It returns ErrNoReplica or a
// *BusyError.
func (b *Balancer) Choose(now time.Time, service *traffic.Service, replicas []*upstream.Replica, req *Request) (Placement, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if service.Engine != nil {
		return b.chooseEngine(now, service, replicas, req)
	}
	return b.choosePlain(now, service, replicas, req)
}

// RecordSend counts a send of a request with so many unprocessed prompt tokens. It returns those that this instance has sent
// there before and that have not been processed yet, for Read.
func (b *Balancer) RecordSend(replica *upstream.Replica, tokens int) (before int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(replica.Incarnation())
	before = l.queue.own
	l.inFlight++
	l.queue.own += tokens
	return before
}

// RecordPrefill notes that a replica has processed a prompt that was counted with so many tokens, behind those before it. took is
// the time since the send.
func (b *Balancer) RecordPrefill(now time.Time, replica *upstream.Replica, service *traffic.Service, prompt *relay.Prompt, tokens, before int, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(replica.Incarnation())
	l.queue.own = max(0, l.queue.own-tokens)
	if service.Engine == nil {
		return
	}
	b.cache(l, service).Add(prompt.Segments)
	if tokens < longPrompt {
		return
	}
	p, ms := b.pace(replica.Service), took.Seconds()*1000-b.trip(replica)
	if before == 0 {
		// What only this request has is processed in any case; the rest may have been cached.
		p.prompt(float64(min(tokens, prompt.Tokens-sharedTokens(prompt))), ms, relativePace(replica))
	}
	relative := relativePace(replica)
	p.wait(now, ms-p.ms(float64(tokens), relative))
	l.queue.observe(now, ms*p.tokensPerMs*relative-float64(tokens), before)
}

// RecordHandoff takes whether a processed prompt of a replica could be used by another one.
func (b *Balancer) RecordHandoff(now time.Time, source *upstream.Replica, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(source.Incarnation()).handoffs.add(now, ok)
}

// RecordSendResult takes whether a replica refused a send.
func (b *Balancer) RecordSendResult(now time.Time, replica *upstream.Replica, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(replica.Incarnation()).refusals.add(now, !refused)
}

// RecordSendEnd counts the end of a send. tokens are those that Read has not been called for.
func (b *Balancer) RecordSendEnd(replica *upstream.Replica, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(replica.Incarnation())
	l.inFlight--
	l.queue.own = max(0, l.queue.own-tokens)
}

// RecordResponseTime takes the time of a complete request to a plain service.
func (b *Balancer) RecordResponseTime(replica *upstream.Replica, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pace(replica.Service).answered(took)
}

// UpdateLoad takes a replica's statement of its load.
func (b *Balancer) UpdateLoad(now time.Time, replica *upstream.Replica, r *relay.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(replica.Incarnation()).report(now, r)
}

func (b *Balancer) load(start upstream.Incarnation) *load {
	l := b.loads[start]
	if l == nil {
		l = &load{}
		b.loads[start] = l
	}
	return l
}

func (b *Balancer) cache(l *load, service *traffic.Service) *partcache.Cache {
	if l.cache == nil {
		l.cache = partcache.New(service.Engine.KVTokens)
	}
	return l.cache
}

func (b *Balancer) pace(service string) *pace {
	p := b.paces[service]
	if p == nil {
		p = newPace()
		b.paces[service] = p
	}
	return p
}
