package place

import (
	"math"
	"time"
)

// SpeedState describes the speed of a replica of an uneven service for the state dump.
type SpeedState struct {
	Replica string     `json:"replica"`
	Class   SpeedClass `json:"class"`
	// Speed is the standing speed relative to the mean of the service, Samples the number of measurements behind it.
	Speed   float64 `json:"speed"`
	Samples int     `json:"samples"`
	// Factor is the momentary factor as last reported, FactorAge the age of that report in seconds, and Expected the factor
	// that is expected now. Factor is 0 if the replica has named none.
	Factor    float64 `json:"factor"`
	FactorAge float64 `json:"factor_age_s"`
	Expected  float64 `json:"expected_factor"`
}

func (s *replicaSpeed) state(now time.Time, mean *[speedKinds]float64) SpeedState {
	state := SpeedState{Replica: s.incarnation.String(), Class: s.class, Speed: thousandths(s.standing(mean)),
		Samples: int(s.samples()), Factor: s.momentary.value, Expected: thousandths(s.momentary.current(now))}
	if s.momentary.value > 0 {
		state.FactorAge = thousandths(now.Sub(s.momentary.reportedAt).Seconds())
	}
	return state
}

// thousandths rounds to three decimal places.
func thousandths(v float64) float64 { return math.Round(v*1000) / 1000 }

// State returns the speeds of the replicas of each uneven service. It is empty where no replica names a momentary factor.
func (b *Balancer) State(now time.Time) map[string][]SpeedState {
	b.mu.Lock()
	defer b.mu.Unlock()
	dump := make(map[string][]SpeedState)
	for name, stats := range b.services {
		if stats.speeds == nil {
			continue
		}
		for _, r := range stats.speeds.replicas {
			dump[name] = append(dump[name], r.state(now, &stats.speeds.mean))
		}
	}
	return dump
}
