package place

import (
	"math"
	"time"
)

const (
	// factorDecay is the time constant with which a reported factor decays towards 1. Slow periods last about 600 ms, so a
	// factor holds for about half of that after an average report.
	factorDecay = 300 * time.Millisecond
	// sameFactor is the relative difference up to which two reports are taken for the same factor.
	sameFactor = 0.1
)

// momentaryFactor is the factor by which a replica's machine said that work takes longer than usual at the moment.
type momentaryFactor struct {
	value      float64 // 0 if no report named one
	reportedAt time.Time
	// since is the first report of value, before the value that preceded it.
	since  time.Time
	before float64
}

// observe records a reported factor.
func (f *momentaryFactor) observe(now time.Time, factor float64) {
	if f.value == 0 || math.Abs(factor-f.value) > sameFactor*f.value {
		f.before, f.since = f.value, now
	}
	f.value, f.reportedAt = factor, now
}

// current returns the expected factor now.
func (f *momentaryFactor) current(now time.Time) float64 {
	if f.value == 0 {
		return 1
	}
	return 1 + (f.value-1)*math.Exp(-max(0, now.Sub(f.reportedAt)).Seconds()/factorDecay.Seconds())
}

// during returns the factor that was in force for the whole of some work which ended with the latest report. If it
// changed meanwhile, it is the lower one, so that the work is not taken for faster than it was.
func (f *momentaryFactor) during(took time.Duration) float64 {
	switch {
	case f.value == 0:
		return 1
	case f.reportedAt.Add(-took).Before(f.since):
		before := f.before
		if before == 0 {
			before = 1
		}
		return math.Min(f.value, before)
	}
	return f.value
}
