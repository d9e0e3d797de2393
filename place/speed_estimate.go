package place

import "math"

// speedEstimate is a running estimate of the logarithm of a speed from measurements of one kind.
type speedEstimate struct {
	log float64
	// samples is the number of measurements, at most maxSpeedSamples.
	samples float64
}

const (
	// maxSpeedSamples bounds the number of measurements that count, so that an estimate follows a machine that changes.
	maxSpeedSamples = 30
	// fasterGain and slowerGain are the weights of a measurement above and below an estimate whose measurements queueing
	// and uncached tokens can only make too slow.
	fasterGain = 0.5
	slowerGain = 0.05
	// maxDeviation bounds what a single measurement says, as a logarithm.
	maxDeviation = 1.0
)

// observeLowerBound records a measurement that can be too slow but not too fast.
func (e *speedEstimate) observeLowerBound(log float64) {
	gain := slowerGain
	if log > e.log {
		gain = fasterGain
	}
	e.observe(log, gain)
}

// observeMean records a measurement that is as often too slow as too fast.
func (e *speedEstimate) observeMean(log float64) { e.observe(log, 1/(e.samples+1)) }

func (e *speedEstimate) observe(log, gain float64) {
	if e.samples == 0 {
		e.log, e.samples = log, 1
		return
	}
	e.log += gain * math.Max(-maxDeviation, math.Min(maxDeviation, log-e.log))
	e.samples = math.Min(maxSpeedSamples, e.samples+1)
}
