package place

import (
	"math"
	"slices"
	"time"

	"rhubarbpoint/relay"
	"rhubarbpoint/upstream"
)

const (
	// minRateSamples is the number of prefill measurements from which their mean is used.
	minRateSamples = 20
	// maxUnevenWaitGain bounds the weight of one observed wait in the mean wait of the service. A slow period or a slow
	// machine lengthens single waits; taken for the wait at all replicas, one led to refusals while most were idle.
	maxUnevenWaitGain = 0.3
	// initialEventTime is the assumed time of an event of a stream before the first measurement, in milliseconds.
	initialEventTime = 50.0
	// occupancyDecay is the time constant of the mean occupancy of replicas. It is long against the time that a request
	// takes and short against changes of the load.
	occupancyDecay = 2 * time.Second
	// occupancyGain is the weight of one report in the mean occupancy of a service.
	occupancyGain = 0.02
	// doubtNoise is the width of the random part of a score, in units of what is not known of a replica's load. Instances
	// that see the same quiet replica then choose different ones. In simulations with 60 instances, 8 was slightly better
	// at 0.9 of capacity, but sent up to a fifth of the requests of an idle service to other regions.
	doubtNoise = 5.0
)

// serviceSpeeds holds the speeds of the replicas of one uneven service, which is a service of whose replicas some load
// report has named a momentary factor. Other services have none, and are served by the same decisions as before.
type serviceSpeeds struct {
	replicas []*replicaSpeed // in the order in which they were first seen
	// mean is the mean over the replicas of the logarithms of the speeds, by kind.
	mean [speedKinds]float64
	// samples is the number of measurements behind each mean.
	samples [speedKinds]float64
	// workMs is the mean time of a request to a plain service at a replica of the mean speed, without queueing.
	workMs float64
	// occupancy is the mean number of other instances' requests for each slot, as reported.
	occupancy float64
}

// replica returns the speed of the replica that a state belongs to.
func (s *serviceSpeeds) replica(state *replicaState, incarnation upstream.Incarnation) *replicaSpeed {
	if state.speed == nil {
		state.speed = &replicaSpeed{incarnation: incarnation, class: Normal}
		s.replicas = append(s.replicas, state.speed)
	}
	return state.speed
}

// forget removes replicas.
func (s *serviceSpeeds) forget(gone func(upstream.Incarnation) bool) {
	s.replicas = slices.DeleteFunc(s.replicas, func(r *replicaSpeed) bool { return gone(r.incarnation) })
	for kind := range speedKinds {
		s.updateMean(kind)
	}
}

// updateMean computes the mean speed of a kind anew. Replicas with few measurements have less weight.
func (s *serviceSpeeds) updateMean(kind speedKind) {
	sum, weights, samples := 0.0, 0.0, 0.0
	for _, r := range s.replicas {
		e := &r.estimates[kind]
		weight := e.samples / (e.samples + speedShrinkage)
		sum, weights, samples = sum+weight*e.log, weights+weight, samples+e.samples
	}
	s.samples[kind] = samples
	if weights > 0 {
		s.mean[kind] = sum / weights
	}
}

// observe records that a replica did so much work of a kind per millisecond, for a time that ended with its latest load
// report. It reports whether the replica's class has changed.
func (s *serviceSpeeds) observe(r *replicaSpeed, kind speedKind, perMs float64, took time.Duration) (changed bool) {
	if !(perMs > 0) || math.IsInf(perMs, 1) {
		return false
	}
	log := math.Log(perMs * r.momentary.during(took))
	if kind == responseSpeed {
		r.estimates[kind].observeMean(log)
	} else {
		r.estimates[kind].observeLowerBound(log)
	}
	s.updateMean(kind)
	return r.classify(&s.mean)
}

// observeWork records the time of a request to a plain service that did not queue.
func (s *serviceSpeeds) observeWork(r *replicaSpeed, took time.Duration) {
	ms := took.Seconds() * 1000 * r.standing(&s.mean) / r.momentary.during(took)
	if s.workMs == 0 {
		s.workMs = ms
		return
	}
	s.workMs += (ms - s.workMs) * latencyGain
}

// observeLoad records a load report that has been applied to the state. age is the time since the report before it,
// negative if there was none.
func (s *serviceSpeeds) observeLoad(now time.Time, state *replicaState, incarnation upstream.Incarnation, age time.Duration, load *relay.Load) {
	r := s.replica(state, incarnation)
	if load.Slowdown > 0 {
		r.momentary.observe(now, load.Slowdown)
	}
	others, gain := state.otherRequests, 1.0
	if age >= 0 {
		gain = 1 - math.Exp(-age.Seconds()/occupancyDecay.Seconds())
	}
	r.meanOthers += (others - r.meanOthers) * gain
	s.occupancy += (others/float64(max(1, state.slots)) - s.occupancy) * occupancyGain
}

// requests returns the expected number of requests at a replica, queued ones included. What an old report says is
// replaced by the mean, since many instances that each take a replica without news for idle would all send to it.
func (s *serviceSpeeds) requests(now time.Time, state *replicaState, incarnation upstream.Incarnation, slots float64) float64 {
	mean := s.occupancy * slots
	if age := state.reportAge(now); age >= 0 {
		mean += (s.replica(state, incarnation).meanOthers - mean) * math.Exp(-age.Seconds()/occupancyDecay.Seconds())
	}
	weight := state.reportWeight(now)
	return float64(state.inFlight) + weight*state.otherRequests + (1-weight)*mean
}

// doubt returns what is not known of the number of requests at a replica because of the age of its report: about the
// standard deviation for a replica whose slots are taken, and less with free slots, where an error costs little and a
// distant replica should not be chosen for it.
func (s *serviceSpeeds) doubt(now time.Time, state *replicaState, requests, slots float64) float64 {
	return (1 - state.reportWeight(now)) * math.Min(requests/math.Sqrt(slots), math.Sqrt(requests))
}

// prefillRate returns the speed of a replica of the mean speed in stage prefill in tokens per millisecond. upper is an
// estimate that follows the fastest measurements. It counts while there are few, because caches are empty at first and
// measurements are then much too slow.
func (s *serviceSpeeds) prefillRate(upper float64) float64 {
	rate := math.Exp(s.mean[prefillSpeed])
	if s.samples[prefillSpeed] < minRateSamples {
		rate = math.Max(rate, upper)
	}
	return rate
}

// eventTime returns the time of an event of a stream at a replica of the mean speed, in milliseconds.
func (s *serviceSpeeds) eventTime() float64 {
	if s.samples[eventSpeed] == 0 {
		return initialEventTime
	}
	return math.Exp(-s.mean[eventSpeed])
}
