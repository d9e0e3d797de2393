// Package place chooses a replica for each routed request, from the requests that this instance has sent, the load
// reports in the replicas' responses, and an estimate of their prefix caches. It balances uneven load: replicas with a
// queue, prompts that only some replicas have cached, and bursts of long prompts among short ones. Decisions depend
// only on the recorded state and the given time.
package place

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/internal/segmentcache"
	"rhubarbpoint/relay"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// Options configure a Balancer.
type Options struct {
	// Self is the ID of this instance among Instances.
	Self string
	// Region and Zone are the location of this instance.
	Region, Zone string
	// Instances returns the instances that send requests to the replicas, this one included. It is called without the
	// balancer's lock. Default: only this one.
	Instances func() []Instance
	// MaxReplicaBytes bounds the request bodies in flight to a replica that does not work on all of its requests; 0 means
	// no bound.
	MaxReplicaBytes int64
	// Seed makes the random choices reproducible.
	Seed uint64
	// Logger receives the events of this package, Metrics its counters. Both are optional.
	Logger  *slog.Logger
	Metrics metrics.Registry
}

// Balancer chooses replicas by their load as this instance knows it. It is safe for concurrent use. No other lock is
// taken while its lock is held, except by the argument of Forget.
type Balancer struct {
	opts Options

	mu       sync.Mutex
	source   *rand.PCG // of random; Copy copies it
	random   *rand.Rand
	states   map[upstream.Incarnation]*replicaState
	services map[string]*serviceStats
	// classChanges are the changes to log when the lock is released.
	classChanges []classChange
	// trace records the estimates that a choice compared. It is set only in copies that explain a choice.
	trace *choiceTrace
}

// NewBalancer returns a Balancer without recorded load.
func NewBalancer(opts Options) *Balancer {
	if opts.Instances == nil {
		only := []Instance{{opts.Self, opts.Region, opts.Zone}}
		opts.Instances = func() []Instance { return only }
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	source := rand.NewPCG(opts.Seed, 0x9e3779b97f4a7c15)
	return &Balancer{
		opts: opts, source: source, random: rand.New(source),
		states: make(map[upstream.Incarnation]*replicaState), services: make(map[string]*serviceStats),
	}
}

// SplitPoint returns a random number in [0,1) for the choice between the services of a route.
func (b *Balancer) SplitPoint() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Float64()
}

// Forget drops the state of unusable replicas that have no requests in flight and are not paused. It calls unusable with
// the lock held, so unusable must not call b.
func (b *Balancer) Forget(now time.Time, unusable func(upstream.Incarnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	gone := make(map[upstream.Incarnation]bool)
	maps.DeleteFunc(b.states, func(incarnation upstream.Incarnation, state *replicaState) bool {
		if state.inFlight == 0 && !now.Before(state.pausedUntil) && unusable(incarnation) {
			gone[incarnation] = true
		}
		return gone[incarnation]
	})
	for _, stats := range b.services {
		if stats.speeds != nil && len(gone) > 0 {
			stats.speeds.forget(func(incarnation upstream.Incarnation) bool { return gone[incarnation] })
		}
	}
}

// Choose returns the placement of a request among the replicas of a service, or ErrNoReplica or a *BusyError.
func (b *Balancer) Choose(now time.Time, service *traffic.Service, replicas []*upstream.Replica, req *Request) (Placement, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.choose(now, service, replicas, req)
}

func (b *Balancer) choose(now time.Time, service *traffic.Service, replicas []*upstream.Replica, req *Request) (Placement, error) {
	if service.Engine != nil {
		return b.chooseEngine(now, service, replicas, req)
	}
	return b.choosePlain(now, service, replicas, req)
}

// RecordSend records that a request with so many uncached prompt tokens was sent to a replica. It returns the number of
// tokens that this instance had already queued there, for RecordPrefill.
func (b *Balancer) RecordSend(now time.Time, replica *upstream.Replica, tokens int) (ownAhead int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(replica.Incarnation())
	if state.limit != nil {
		state.limit.take(now)
	}
	ownAhead = state.queue.ownTokens
	state.inFlight++
	state.queue.ownTokens += tokens
	return ownAhead
}

// RecordPrefill records that a replica has processed a prompt. tokens and ownAhead are the argument and the result of
// RecordSend, took is the time since then.
func (b *Balancer) RecordPrefill(now time.Time, replica *upstream.Replica, service *traffic.Service, prompt *relay.Prompt, tokens, ownAhead int, took time.Duration) {
	b.mu.Lock()
	defer b.unlock()
	state := b.state(replica.Incarnation())
	state.queue.ownTokens = max(0, state.queue.ownTokens-tokens)
	if service.Engine == nil {
		return
	}
	b.cache(state, service).Add(prompt.Segments)
	if tokens < longPromptTokens {
		return
	}
	stats, ms := b.stats(replica.Service), took.Seconds()*1000-b.rtt(replica)
	if ownAhead == 0 {
		// Only the last segment was certainly processed; the shared segments may have been cached.
		processed := float64(min(tokens, prompt.Tokens-sharedTokens(prompt)))
		stats.observePrefill(processed, ms, relativeSpeed(replica))
		if processed >= minSpeedSample {
			b.observeSpeed(now, replica, prefillSpeed, processed/ms/relativeSpeed(replica), took)
		}
	}
	relative := b.prefillSpeed(now, replica)
	stats.observeWait(now, ms-stats.prefillMs(float64(tokens), relative))
	state.queue.observe(now, ms*stats.tokensPerMs*relative-float64(tokens), ownAhead)
}

// RecordHandoff records whether another replica could use the KV cache of a prompt that source processed.
func (b *Balancer) RecordHandoff(now time.Time, source *upstream.Replica, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(source.Incarnation()).handoffFailures.observe(now, ok)
}

// RecordSendResult records whether a replica refused or accepted an attempt.
func (b *Balancer) RecordSendResult(now time.Time, replica *upstream.Replica, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(replica.Incarnation()).refusals.observe(now, !refused)
}

// RecordSendEnd records the end of an attempt. tokens is the number of tokens given to RecordSend, or 0 if
// RecordPrefill was called for them.
func (b *Balancer) RecordSendEnd(replica *upstream.Replica, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(replica.Incarnation())
	state.inFlight--
	state.queue.ownTokens = max(0, state.queue.ownTokens-tokens)
}

// RecordResponseTime records the time from sending a request to its complete response. It is used to place requests of
// plain services.
func (b *Balancer) RecordResponseTime(replica *upstream.Replica, took time.Duration) {
	b.mu.Lock()
	defer b.unlock()
	b.stats(replica.Service).observeLatency(took)
	b.observeResponse(replica, took)
}

// UpdateLoad applies a replica's load report.
func (b *Balancer) UpdateLoad(now time.Time, replica *upstream.Replica, r *relay.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(replica.Incarnation())
	age := state.reportAge(now)
	state.update(now, r)
	b.observeLoad(now, replica, state, age, r)
}

func (b *Balancer) state(incarnation upstream.Incarnation) *replicaState {
	s := b.states[incarnation]
	if s == nil {
		s = &replicaState{}
		b.states[incarnation] = s
	}
	return s
}

func (b *Balancer) cache(s *replicaState, service *traffic.Service) *segmentcache.Cache {
	if s.cache == nil {
		s.cache = segmentcache.New(service.Engine.KVTokens)
	}
	return s.cache
}

func (b *Balancer) stats(service string) *serviceStats {
	s := b.services[service]
	if s == nil {
		s = newServiceStats()
		b.services[service] = s
	}
	return s
}
