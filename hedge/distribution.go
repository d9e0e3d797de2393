package hedge

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Distribution is an immutable snapshot of measured response times at the usual speed of a replica and without a queue.
type Distribution struct {
	values []float64 // ascending, in microseconds
	// counts and sums are those of the values from an index to the end; the last element of both is 0.
	counts, sums []float64
}

// priorWeight is the weight, in measurements, of the assumption that an attempt which has run for some time takes as
// long again. It decides where nothing as slow was measured, and matters little elsewhere.
const priorWeight = 1.0

func newDistribution(bars []hdrhistogram.Bar) *Distribution {
	d := &Distribution{}
	var counts []float64
	for _, bar := range bars {
		if bar.Count > 0 {
			d.values = append(d.values, float64(bar.From+bar.To)/2)
			counts = append(counts, float64(bar.Count))
		}
	}
	d.counts, d.sums = make([]float64, len(counts)+1), make([]float64, len(counts)+1)
	for i := len(counts) - 1; i >= 0; i-- {
		d.counts[i] = d.counts[i+1] + counts[i]
		d.sums[i] = d.sums[i+1] + counts[i]*d.values[i]
	}
	return d
}

// Count returns the number of measured response times.
func (d *Distribution) Count() int { return int(d.counts[0]) }

// Mean returns the mean response time, or 0 without measurements.
func (d *Distribution) Mean() time.Duration {
	if d.counts[0] == 0 {
		return 0
	}
	return micros(d.sums[0] / d.counts[0])
}

// Quantile returns the response time that a share q of the measured ones did not exceed, or 0 without measurements.
func (d *Distribution) Quantile(q float64) time.Duration {
	if len(d.values) == 0 {
		return 0
	}
	i := sort.Search(len(d.values), func(i int) bool { return d.counts[0]-d.counts[i+1] >= q*d.counts[0] })
	return micros(d.values[min(i, len(d.values)-1)])
}

// Remaining returns the expected remaining time of an attempt that has run for the given time: the mean of the measured
// times that were longer, less that time.
func (d *Distribution) Remaining(age time.Duration) time.Duration {
	return micros(d.remaining(inMicros(age)))
}

func (d *Distribution) remaining(age float64) float64 {
	i := d.above(age)
	return (d.sums[i] - d.counts[i]*age + priorWeight*age) / (d.counts[i] + priorWeight)
}

// above returns the index of the first value above age.
func (d *Distribution) above(age float64) int {
	return sort.Search(len(d.values), func(i int) bool { return d.values[i] > age })
}

// FirstAgeAbove returns the first age, not before the given one, at which Remaining exceeds bar. There is always one:
// beyond all measured times the expected remaining time grows with the age.
func (d *Distribution) FirstAgeAbove(age, bar time.Duration) time.Duration {
	from, limit := inMicros(age), inMicros(bar)
	if d.remaining(from) > limit {
		return age
	}
	// Between two measured times the remaining time moves evenly, and it jumps up where it reaches one.
	for i := d.above(from); i < len(d.values); i++ {
		if d.remaining(d.values[i]) > limit {
			return micros(d.values[i])
		}
	}
	return max(age, bar) + time.Microsecond
}

func micros(n float64) time.Duration { return time.Duration(n * float64(time.Microsecond)) }

func inMicros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
