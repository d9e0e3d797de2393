package truetime

import (
	"slices"
	"time"

	"rhubarbpoint/internal/boottime"
)

// observationLifetime is how long the wall clock of an instance counts after its last report.
const observationLifetime = 5 * time.Second

// Estimator estimates true time from the wall clocks of the instances. It relates them to the boot-time clock of this
// instance, which does not jump. It is not safe for concurrent use.
type Estimator struct{ observed map[string]observation }

// observation is the offset of an instance's wall clock from the boot-time clock of this instance, and when it was
// observed by the latter.
type observation struct {
	offset time.Duration
	at     boottime.Instant
}

// NewEstimator returns an Estimator without observations.
func NewEstimator() *Estimator { return &Estimator{observed: make(map[string]observation)} }

// Observe records the wall clock of an instance at the time boot of the boot-time clock.
func (e *Estimator) Observe(instance string, wall time.Time, boot boottime.Instant) {
	e.observed[instance] = observation{offset: wall.Sub(time.Unix(0, 0)) - time.Duration(boot), at: boot}
}

// Estimate returns true time at the time boot of the boot-time clock, and the number of clocks that it uses.
func (e *Estimator) Estimate(boot boottime.Instant) (trueTime time.Time, clocks int) {
	var offsets []time.Duration
	for instance, o := range e.observed {
		if boot.Sub(o.at) >= observationLifetime {
			delete(e.observed, instance)
			continue
		}
		offsets = append(offsets, o.offset)
	}
	if len(offsets) == 0 {
		return time.Time{}, 0
	}
	return time.Unix(0, 0).Add(time.Duration(boot) + median(offsets)), len(offsets)
}

// median returns the median of at least one offset, so that clocks which jump do not matter while they are fewer than
// half.
func median(offsets []time.Duration) time.Duration {
	slices.Sort(offsets)
	low, high := offsets[(len(offsets)-1)/2], offsets[len(offsets)/2]
	return low + (high-low)/2
}
