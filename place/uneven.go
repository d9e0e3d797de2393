package place

import (
	"time"

	"rhubarbpoint/relay"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// The methods in this file apply the speeds of the replicas of uneven services. For other services they return what the
// decisions used before there were such services. They are called with b.mu held.

// observeLoad applies a load report to the speeds of a service. The first report that names a momentary factor makes the
// service uneven. age is the age of the report before it.
func (b *Balancer) observeLoad(now time.Time, r *upstream.Replica, state *replicaState, age time.Duration, load *relay.Load) {
	stats := b.stats(r.Service)
	if stats.speeds == nil && load.Slowdown > 0 {
		stats.speeds = &serviceSpeeds{}
	}
	if stats.speeds != nil {
		stats.speeds.observeLoad(now, state, r.Incarnation(), age, load)
	}
}

// observeSpeed records a measured speed of a replica.
func (b *Balancer) observeSpeed(now time.Time, r *upstream.Replica, kind speedKind, perMs float64, took time.Duration) {
	speeds := b.stats(r.Service).speeds
	if speeds == nil {
		return
	}
	speed := speeds.replica(b.state(r.Incarnation()), r.Incarnation())
	if speeds.observe(speed, kind, perMs, took) {
		b.classChanges = append(b.classChanges, classChange{r.Service, speed.state(now, &speeds.mean)})
	}
}

// observeResponse records the response time of a replica of a plain service, unless requests waited there.
func (b *Balancer) observeResponse(r *upstream.Replica, took time.Duration) {
	state, speeds := b.state(r.Incarnation()), b.stats(r.Service).speeds
	if speeds == nil || state.waiting > 0 || state.reportedAt.IsZero() {
		return
	}
	speed := speeds.replica(state, r.Incarnation())
	if took -= milliseconds(b.rtt(r)); took > 0 {
		b.observeSpeed(state.reportedAt, r, responseSpeed, 1/(took.Seconds()*1000), took)
		speeds.observeWork(speed, took)
	}
}

// RecordEvents records that a replica has sent so many events of a stream in a time, after the first one.
func (b *Balancer) RecordEvents(now time.Time, replica *upstream.Replica, events int, took time.Duration) {
	if events < 1 || took <= 0 {
		return
	}
	b.mu.Lock()
	defer b.unlock()
	b.observeSpeed(now, replica, eventSpeed, float64(events)/(took.Seconds()*1000), took)
}

// slowness returns the factor of the time that work takes at a replica now.
func (b *Balancer) slowness(now time.Time, r *upstream.Replica) float64 {
	speeds := b.stats(r.Service).speeds
	if speeds == nil {
		return 1
	}
	return speeds.replica(b.state(r.Incarnation()), r.Incarnation()).slowness(now, &speeds.mean)
}

// prefillSpeed returns the prefill speed of a replica now, relative to serviceStats.tokensPerMs.
func (b *Balancer) prefillSpeed(now time.Time, r *upstream.Replica) float64 {
	return b.unevenSpeed(now, r, relativeSpeed(r))
}

// shortPromptSpeed returns the speed at which a replica processes short prompts beside its batch, relative to
// serviceStats.tokensPerMs.
func (b *Balancer) shortPromptSpeed(now time.Time, r *upstream.Replica) float64 {
	return b.unevenSpeed(now, r, decodeSpeed)
}

func (b *Balancer) unevenSpeed(now time.Time, r *upstream.Replica, relative float64) float64 {
	stats := b.stats(r.Service)
	if stats.speeds == nil {
		return relative
	}
	return relative * stats.speeds.prefillRate(stats.tokensPerMs) / stats.tokensPerMs / b.slowness(now, r)
}

// preferredWeight returns the weight of a replica in the choice of preferred replicas.
func (b *Balancer) preferredWeight(r *upstream.Replica) float64 {
	weight := relativeSpeed(r)
	if state := b.states[r.Incarnation()]; state != nil && state.speed != nil {
		weight *= state.speed.weight()
	}
	return weight
}

// plainLoad returns the expected work of a request at a replica of a plain service in milliseconds, the number of
// requests there, and the width of the random part of its score.
func (b *Balancer) plainLoad(now time.Time, stats *serviceStats, r *upstream.Replica, slots float64) (work, requests, noise float64) {
	state := b.state(r.Incarnation())
	latency := stats.meanLatency.Seconds() * 1000
	speeds := stats.speeds
	if speeds == nil {
		return latency, state.requests(now), tieNoise
	}
	if speeds.workMs > 0 {
		latency = speeds.workMs
	}
	work = latency * b.slowness(now, r)
	requests = speeds.requests(now, state, r.Incarnation(), slots)
	return work, requests, tieNoise + doubtNoise*speeds.doubt(now, state, requests, slots)*work/slots
}

// decodeLoad returns the expected number of requests at a decode replica, the expected time of an event of a stream in
// milliseconds, and the width of the random part of its score. On a slow machine each request occupies its slot longer,
// and so counts for more. For services that are not uneven the time is 0.
func (b *Balancer) decodeLoad(now time.Time, service *traffic.Service, r *upstream.Replica) (requests, eventMs, noise float64) {
	speeds, state := b.stats(r.Service).speeds, b.state(r.Incarnation())
	if speeds == nil {
		return state.requests(now), 0, tieNoise
	}
	slowness, slots := b.slowness(now, r), float64(max(1, service.Engine.Slots))
	requests = speeds.requests(now, state, r.Incarnation(), slots)
	noise = tieNoise + doubtNoise*speeds.doubt(now, state, requests, slots)*slowness*fullBatchDelayMs/slots
	return requests * slowness, speeds.eventTime() * slowness, noise
}
