package place

import (
	"math"
	"time"

	"rhubarbpoint/upstream"
)

// speedKind is a kind of measurement of a replica's speed.
type speedKind int

const (
	// prefillSpeed is in prompt tokens per millisecond in stage prefill, eventSpeed in events of a stream per millisecond,
	// responseSpeed in responses of a plain service per millisecond.
	prefillSpeed speedKind = iota
	eventSpeed
	responseSpeed
	speedKinds
)

// SpeedClass is the class of a replica's standing speed that its share of the prompts depends on.
type SpeedClass string

const (
	// Normal is the class of a replica whose speed is not known to be low.
	Normal SpeedClass = "normal"
	// Slow is the class of a replica that is certainly slower than the mean of its service.
	Slow SpeedClass = "slow"
)

const (
	// speedShrinkage is the number of measurements that the assumption of the mean speed counts for.
	speedShrinkage = 5.0
	// minClassSamples is the number of measurements from which a replica can be Slow.
	minClassSamples = 6
	// slowBelow and normalAbove are the speeds, relative to the mean of the service, at which the class changes. Known
	// fleets have speeds of 0.55 and 1.2 of nominal.
	slowBelow   = 0.75
	normalAbove = 0.87
	// slowWeight is the weight of a Slow replica in the choice of preferred replicas, that of a Normal one is 1.
	slowWeight = 0.5
	// maxStandingSpeed bounds the standing speed, as a factor in both directions.
	maxStandingSpeed = 4.0
)

// replicaSpeed is the model of how fast one replica of an uneven service is: a standing speed, learned from its own
// work, and the momentary factor that it reports. It answers the load of a fleet on machines of different speeds with
// neighbours that slow them for fractions of a second.
type replicaSpeed struct {
	incarnation upstream.Incarnation
	estimates   [speedKinds]speedEstimate
	momentary   momentaryFactor
	class       SpeedClass
	// meanOthers is the mean number of other instances' requests, as reported.
	meanOthers float64
}

// samples returns the number of measurements behind the standing speed.
func (s *replicaSpeed) samples() float64 {
	sum := 0.0
	for _, e := range s.estimates {
		sum += e.samples
	}
	return sum
}

// standing returns the standing speed relative to the mean of the service, whose logarithms are given for each kind. Few
// measurements say little, so the result is then near 1.
func (s *replicaSpeed) standing(mean *[speedKinds]float64) float64 {
	sum := 0.0
	for kind, e := range s.estimates {
		sum += e.samples * (e.log - mean[kind])
	}
	speed := math.Exp(sum / (s.samples() + speedShrinkage))
	return math.Min(maxStandingSpeed, math.Max(1/maxStandingSpeed, speed))
}

// classify updates the class, with hysteresis. It reports whether the class has changed.
func (s *replicaSpeed) classify(mean *[speedKinds]float64) bool {
	class, speed := s.class, s.standing(mean)
	switch {
	case speed > normalAbove:
		class = Normal
	case speed < slowBelow && s.samples() >= minClassSamples:
		class = Slow
	}
	changed := class != s.class
	s.class = class
	return changed
}

// weight returns the weight in the choice of preferred replicas. It has few values because all instances must agree on
// preferred replicas, and each learns speeds on its own.
func (s *replicaSpeed) weight() float64 {
	if s.class == Slow {
		return slowWeight
	}
	return 1
}

// slowness returns the factor of the time that work takes now, relative to a replica of the mean speed.
func (s *replicaSpeed) slowness(now time.Time, mean *[speedKinds]float64) float64 {
	return s.momentary.current(now) / s.standing(mean)
}
