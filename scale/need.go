package scale

import (
	"time"

	"rhubarbpoint/upstream"
)

const (
	// swingHeadroom is how far the load rises above its mean in its slow oscillation (27 %).
	swingHeadroom = 1.27
	// burstHeadroom is how far the work rises when a kind of request that makes up half of it bursts to 2.5 times its
	// mean for 6 s: 0.5 + 0.5 × 2.5. Replicas ordered after the start of a burst serve only at its end, so the room for
	// it must be there.
	burstHeadroom = 1.75
	// TargetUtilisation is the utilisation at the median load that is left after the loss of a zone. At the top of the
	// oscillation and in a burst it rises to 1, so that a queue forms only beyond them; a queue of a burst that exceeds
	// it is gone within about the boot time.
	TargetUtilisation = 1 / (swingHeadroom * burstHeadroom)
	// peakUtilisation is the utilisation at the highest load of the window. It is close to 1, so that a burst for which
	// there is room orders nothing, but a lasting increase is followed before the median shows it.
	peakUtilisation = 0.95
	// window is how long the demand is remembered. It covers several bursts, so that the median is not of one, and is the
	// least time before a decrease.
	window = time.Minute
	// minSamples is the number of samples from which their median is used: the first ones may all be of a burst.
	minSamples = 10
	// sampleInterval is the least time between two samples. Reports arrive once a second.
	sampleInterval = 900 * time.Millisecond
	// maxStageFactor bounds the replicas added because one stage has too few of them. Beyond it the division has to be
	// corrected, not the number.
	maxStageFactor = 1.25

	// pressureRefused and pressureLate are the shares of refused and of late requests that show that the estimate of the
	// work is too low.
	pressureRefused = 0.01
	pressureLate    = 0.1
	// boostStep and maxBoost are the growth under pressure beyond the estimated need, each step after the previous one
	// serves. The bound keeps a cause that replicas do not remove from filling all zones.
	boostStep = 1.25
	maxBoost  = 1.5
)

// remember adds the sample to the window and updates the boost. atBase reports whether all planned replicas serve; if
// they do not, pressure is expected and the boost stays.
func (m *Memory) remember(now time.Time, sample Sample, known, atBase bool, bootTime time.Duration) {
	first := 0
	for first < len(m.Samples) && now.Sub(m.Samples[first].At) > window {
		first++
	}
	m.Samples = m.Samples[first:]
	if known && (len(m.Samples) == 0 || now.Sub(m.Samples[len(m.Samples)-1].At) >= sampleInterval) {
		m.Samples = append(m.Samples, sample)
	}
	m.Boost = max(m.Boost, 1)
	pressure := known && (sample.Refused > pressureRefused || sample.Late > pressureLate)
	switch {
	case pressure:
		m.PressureAt = now
		if atBase && now.Sub(m.BoostedAt) > bootTime+orderMargin {
			m.Boost, m.BoostedAt = min(maxBoost, m.Boost*boostStep), now
		}
	case now.Sub(m.PressureAt) > window:
		m.Boost = 1
	}
}

// need returns the number of replicas that must be left after the loss of a zone. It answers a load that oscillates
// slowly, with bursts of single kinds that are shorter than the time to see them and to start a replica: the median has
// the headroom for both, and the highest load of the window follows a lasting increase at once.
func (m *Memory) need() float64 {
	sustained := 0.0
	if len(m.Samples) >= minSamples {
		sustained = median(m.Samples, (*Sample).Work) / TargetUtilisation
	}
	peak := highest(m.Samples, (*Sample).Work) / peakUtilisation
	stages := median(m.Samples, func(s *Sample) float64 { return s.StageFactor })
	return max(sustained, peak) * max(1, stages) * m.Boost
}

// mayShrink reports whether the demand of the window is known, at least half of the time, and shows no lack of room.
func (m *Memory) mayShrink(now time.Time, sample *Sample) bool {
	return sample.Complete && len(m.Samples) > int(window/sampleInterval)/2 && now.Sub(m.Samples[0].At) >= window-2*sampleInterval && now.Sub(m.PressureAt) > window
}

// stageFactor returns how much more replicas than the work are needed with the present division into stages, 1 to
// maxStageFactor. Replicas of stage Whole do both.
func stageFactor(sample *Sample, serving []upstream.Replica) float64 {
	var count [3]float64
	for i := range serving {
		count[serving[i].Stage]++
	}
	all := count[upstream.Prefill] + count[upstream.Decode]
	if count[upstream.Whole] > 0 || count[upstream.Prefill] == 0 || count[upstream.Decode] == 0 || sample.Work() == 0 {
		return 1
	}
	needed := max(sample.Prefill*all/count[upstream.Prefill], sample.Decode*all/count[upstream.Decode])
	return min(maxStageFactor, max(1, needed/sample.Work()))
}
