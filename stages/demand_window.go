package stages

import (
	"slices"
	"time"
)

const (
	// sustainedTime is the time over which the demand is taken, two to three periods of the load's oscillation (11 to
	// 15 s). In trials with the loads of TestUnsteadyDemand, the division changed up to eight times in 5 minutes with
	// 13 s, and with 30 s once, or up to five times where the load oscillates by 55 %.
	sustainedTime = 30 * time.Second
	// minKnownTime is the least time of known demand before a change can be wanted. Together with wishTime it covers a
	// period: at the trough of an oscillation by 55 % the demand of a shorter time looks sufficient for one decode replica
	// less.
	minKnownTime = 10 * time.Second
	// minSamples is the least number of samples; they come every 1 to 1.5 s.
	minSamples = 6
	// minInstancesShare is the share of the instances of the window that must report. Demand that comes from fewer of them
	// is incomplete: the requests of the others are still running.
	minInstancesShare = 0.75
)

// demandWindow holds the latest samples of the demand for a service, oldest first.
type demandWindow struct{ samples []demandSample }

// add returns the window with a sample. Samples from before a gap of maxDemandAge are dropped, and so is a sample to
// which too few instances contributed.
func (w demandWindow) add(s demandSample) demandWindow {
	if len(w.samples) > 0 && s.at.Sub(w.samples[len(w.samples)-1].at) > maxDemandAge {
		w.samples = nil
	}
	first := 0
	for first < len(w.samples) && s.at.Sub(w.samples[first].at) > sustainedTime {
		first++
	}
	kept := slices.Clone(w.samples[first:])
	for _, earlier := range kept {
		if float64(s.instances) < minInstancesShare*float64(earlier.instances) {
			return demandWindow{kept}
		}
	}
	return demandWindow{append(kept, s)}
}

// sustained returns the demand over the window, and whether it is known. The median is used for the slots: the bursts of
// single kinds, by 1.7 to 2.5 for 3 s, take less than half of the window. The number of replicas is the largest: those
// of a reclaimed zone are replaced within the window.
func (w demandWindow) sustained(now time.Time) (demandSample, bool) {
	if len(w.samples) == 0 {
		return demandSample{}, false
	}
	latest := w.samples[len(w.samples)-1]
	s := demandSample{at: latest.at, instances: latest.instances, age: now.Sub(latest.at) + latest.age}
	var slots []float64
	for _, sample := range w.samples {
		slots = append(slots, sample.slots)
		s.tokensPerSecond += sample.tokensPerSecond / float64(len(w.samples))
		s.replicas = max(s.replicas, sample.replicas)
	}
	slices.Sort(slots)
	s.slots = (slots[(len(slots)-1)/2] + slots[len(slots)/2]) / 2
	known := len(slots) >= minSamples && latest.at.Sub(w.samples[0].at) >= minKnownTime && s.age <= maxDemandAge
	return s, known
}
