package place

import (
	"math"
	"time"

	"rhubarbpoint/upstream"
)

const (
	// initialTokensPerMs is the assumed speed of a prefill replica before the first measurement. Only its ratio to the
	// network's round-trip times matters.
	initialTokensPerMs = 100
	// minSpeedSample is the least number of tokens from which the speed is measured.
	minSpeedSample = 512
	// speedGain is the weight of a measurement below the mean. One above it has a weight of 1/2, because queueing can
	// only make a measurement too low.
	speedGain = 0.05
	// decodeSpeed is the prefill speed of decode replicas relative to prefill replicas. They process prompts between
	// the decode steps of their batch.
	decodeSpeed = 0.5
	// initialLatency is the assumed response time of a plain service before the first measurement.
	initialLatency = 30 * time.Millisecond
	// latencyGain is the weight of one measured response time.
	latencyGain = 0.02
)

// serviceStats holds measured speeds and delays of the replicas of one service.
type serviceStats struct {
	// tokensPerMs is the prompt speed of a prefill replica.
	tokensPerMs float64
	// meanLatency is the mean response time of a plain service.
	meanLatency time.Duration
	// meanWaitMs is the mean queueing delay of recent prompts at all replicas, as of meanWaitAt.
	meanWaitMs float64
	meanWaitAt time.Time
	// speeds is nil unless the service is uneven.
	speeds *serviceSpeeds
}

func newServiceStats() *serviceStats {
	return &serviceStats{tokensPerMs: initialTokensPerMs, meanLatency: initialLatency}
}

// observePrefill records that a replica of the given relative speed processed at least so many prompt tokens in ms
// milliseconds.
func (s *serviceStats) observePrefill(tokens, ms, relative float64) {
	if tokens < minSpeedSample || ms <= 0 {
		return
	}
	measured := tokens / ms / relative
	if measured > s.tokensPerMs {
		s.tokensPerMs += (measured - s.tokensPerMs) / 2
		return
	}
	s.tokensPerMs += (measured - s.tokensPerMs) * speedGain
}

// relativeSpeed returns the prefill speed of a replica relative to a prefill replica.
func relativeSpeed(r *upstream.Replica) float64 {
	if r.Stage == upstream.Prefill {
		return 1
	}
	return decodeSpeed
}

// observeWait records the queueing delay of a prompt.
func (s *serviceStats) observeWait(now time.Time, ms float64) {
	gain := 1.0
	if !s.meanWaitAt.IsZero() {
		gain = math.Max(minWaitGain, 1-math.Exp(-now.Sub(s.meanWaitAt).Seconds()/waitDecay.Seconds()))
	}
	if s.speeds != nil {
		gain = math.Min(gain, maxUnevenWaitGain)
	}
	s.meanWaitMs += (math.Max(0, ms) - s.meanWaitMs) * gain
	s.meanWaitAt = now
}

// expectedWaitMs returns the expected queueing delay at a replica without observations of its own. It decays while
// nothing is observed, so that requests are accepted again after a time in which all were refused.
func (s *serviceStats) expectedWaitMs(now time.Time) float64 {
	if s.meanWaitAt.IsZero() {
		return 0
	}
	return s.meanWaitMs * math.Exp(-now.Sub(s.meanWaitAt).Seconds()/waitDecay.Seconds())
}

// observeLatency records the response time of a plain service.
func (s *serviceStats) observeLatency(took time.Duration) {
	s.meanLatency += time.Duration(float64(took-s.meanLatency) * latencyGain)
}

// prefillMs returns the milliseconds that a replica of the given relative speed takes for a number of prompt tokens.
func (s *serviceStats) prefillMs(tokens, relative float64) float64 {
	return tokens / math.Max(s.tokensPerMs*relative, 1)
}
