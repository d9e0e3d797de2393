package scale

import (
	"math"
	"slices"
	"time"

	"rhubarbpoint/activity"
)

const (
	// demandMaxAge is the age from which the demand of a zone is not used. Instances report once a second, and a lost
	// report is followed by the next one.
	demandMaxAge = 5 * time.Second
	// demandForgotten is the age from which a zone's instances count as gone. Between the two ages the demand is
	// incomplete, which allows no decrease.
	demandForgotten = 30 * time.Second
	// minInstancesShare is the share of the instances of the window that must report. Package activity drops an instance
	// that has not reported for some seconds, and the callers of one that is cut off are still served.
	minInstancesShare = 0.75
	// maxRefusedFactor bounds the estimate of slot time that refused requests would have taken.
	maxRefusedFactor = 3
)

// Sample is the demand for a service at one moment, in replicas that work all the time.
type Sample struct {
	At              time.Time
	Prefill, Decode float64
	// Urgent is the part of both that belongs to the most urgent priority.
	Urgent float64
	// Regions is the sum of both by region of the instances.
	Regions map[string]float64
	// StageFactor is how much more replicas than their sum are needed because of their division into stages.
	StageFactor float64
	// Complete is false if the demand of a zone or of too many instances is missing.
	Complete bool
	// Instances is the number of instances that reported.
	Instances int
	// Age is that of the oldest figure used.
	Age time.Duration
	// Refused and Late are shares of the requests.
	Refused, Late float64
}

// Work returns the work of both stages.
func (s *Sample) Work() float64 { return s.Prefill + s.Decode }

// newSample converts the rates of each zone of instances to work. Prompts take their uncached tokens over the measured
// speed of a prefill replica, generations their slot time over the slots of a replica. Slot time is that of requests
// that were served, so it is scaled up by the requests that were refused. It returns false if the demand is unknown,
// stale or implausible.
func newSample(now time.Time, demand map[string]activity.Rates, slots int, regionOf func(string) string) (Sample, bool) {
	s := Sample{At: now, Regions: make(map[string]float64), Complete: true}
	var requests, refused, late, speed, weight float64
	fresh := make(map[string]activity.Rates)
	for zone, r := range demand {
		switch {
		case !plausible(&r), r.Age > demandForgotten, r.Age < 0:
		case r.Age > demandMaxAge:
			s.Complete = false
		default:
			fresh[zone] = r
			s.Age = max(s.Age, r.Age)
			s.Instances += max(0, r.Instances)
			requests, refused, late = requests+r.Requests, refused+r.Refused, late+r.Late
			if r.PrefillTokensPerMs > 0 {
				speed, weight = speed+r.PrefillTokensPerMs*(1+r.UncachedTokens), weight+1+r.UncachedTokens
			}
		}
	}
	if len(fresh) == 0 || slots <= 0 {
		return Sample{}, false
	}
	for zone, r := range fresh {
		prefill := 0.0
		if r.UncachedTokens > 0 {
			if weight == 0 {
				return Sample{}, false
			}
			prefill = r.UncachedTokens / 1000 / (speed / weight)
		}
		offered := offeredFactor(r.Requests, r.Refused)
		decode := (r.HandoffSlots + r.StreamSlots) * offered / float64(slots)
		s.Prefill, s.Decode = s.Prefill+prefill, s.Decode+decode
		s.Regions[regionOf(zone)] += prefill + decode
		s.Urgent += r.UrgentSlots * offered / float64(slots)
		if r.Requests > 0 {
			s.Urgent += prefill * min(1, r.UrgentRequests/r.Requests)
		}
	}
	if requests > 0 {
		s.Refused, s.Late = refused/requests, late/requests
		if s.Work() == 0 {
			return Sample{}, false // requests without work: their work is not measured
		}
	}
	return s, true
}

// offeredFactor returns the ratio of offered to served requests.
func offeredFactor(requests, refused float64) float64 {
	if refused <= 0 {
		return 1
	}
	if refused >= requests {
		return maxRefusedFactor
	}
	return min(maxRefusedFactor, requests/(requests-refused))
}

func plausible(r *activity.Rates) bool {
	for _, figure := range []float64{
		r.Requests, r.UrgentRequests, r.Refused, r.Late, r.UncachedTokens, r.HandoffSlots, r.StreamSlots, r.UrgentSlots, r.PrefillTokensPerMs,
	} {
		if !(figure >= 0) || math.IsInf(figure, 1) {
			return false
		}
	}
	return true
}

// median returns the median of a figure over the samples, 0 without any.
func median(samples []Sample, figure func(*Sample) float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	figures := make([]float64, len(samples))
	for i := range samples {
		figures[i] = figure(&samples[i])
	}
	slices.Sort(figures)
	return (figures[(len(figures)-1)/2] + figures[len(figures)/2]) / 2
}

// highest returns the highest value of a figure over the samples, 0 without any.
func highest(samples []Sample, figure func(*Sample) float64) float64 {
	found := 0.0
	for i := range samples {
		found = max(found, figure(&samples[i]))
	}
	return found
}
