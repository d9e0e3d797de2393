package stages

import (
	"math"
	"time"

	"rhubarbpoint/activity"
)

// maxDemandAge is the age from which demand is not used. Instances report once a second, and a lost report is followed
// by the next one.
const maxDemandAge = 5 * time.Second

// demandSample is the demand of the whole fleet for a service at one moment.
type demandSample struct {
	at time.Time
	// slots is the mean number of decode batch slots taken. tokensPerSecond are uncached prompt tokens.
	slots, tokensPerSecond float64
	// replicas is the number of replicas that were listed, instances the number of instances that reported.
	replicas, instances int
	// age is the age of the oldest report that is used.
	age time.Duration
}

// newDemandSample adds up the demand of all zones. It returns false if it is unknown, incomplete, stale or implausible,
// and for a service that nobody uses: a pause of the callers is no reason to change the division that they will meet.
func newDemandSample(at time.Time, zones map[string]activity.Rates, replicas int) (demandSample, bool) {
	s := demandSample{at: at, replicas: replicas}
	for _, r := range zones {
		if r.Age < 0 || r.Age > maxDemandAge || !plausible(r.HandoffSlots, r.StreamSlots, r.UncachedTokens) {
			return demandSample{}, false
		}
		s.slots += r.HandoffSlots + r.StreamSlots
		s.tokensPerSecond += r.UncachedTokens
		s.instances += r.Instances
		s.age = max(s.age, r.Age)
	}
	return s, s.slots > 0 && s.replicas > 0
}

func plausible(figures ...float64) bool {
	for _, f := range figures {
		if !(f >= 0) || math.IsInf(f, 1) {
			return false
		}
	}
	return true
}
