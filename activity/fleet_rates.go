package activity

import (
	"time"
)

// fleetOf returns the rates of the demand over a time until now. It answers a load that shifts between services and
// zones while single instances start, stop or are cut off: an instance counts from its second report on and until its
// last one is maxReportAge old, and a restarted instance starts anew.
func fleetOf(now time.Time, over time.Duration, histories []*history) Fleet {
	over = min(max(over, time.Second), maxRateTime)
	fleet := Fleet{Zones: make(map[string]map[string]Rates)}
	speeds := make(map[*Rates]int)
	sums := make(map[string]map[string]*Rates)
	for _, h := range histories {
		if len(h.samples) == 0 {
			continue
		}
		for service, demand := range h.samples[len(h.samples)-1].demand {
			perSecond, latest, known := h.rates(now, over, service)
			if !known {
				continue
			}
			if sums[service] == nil {
				sums[service] = make(map[string]*Rates)
			}
			rates := sums[service][h.zone]
			if rates == nil {
				rates = &Rates{}
				sums[service][h.zone] = rates
			}
			rates.add(perSecond)
			rates.Instances++
			rates.Age = max(rates.Age, now.Sub(latest))
			if demand.PrefillTokensPerMs > 0 {
				speeds[rates]++
				rates.PrefillTokensPerMs += (demand.PrefillTokensPerMs - rates.PrefillTokensPerMs) / float64(speeds[rates])
			}
		}
	}
	for service, zones := range sums {
		fleet.Zones[service] = make(map[string]Rates, len(zones))
		for zone, rates := range zones {
			fleet.Zones[service][zone] = *rates
		}
	}
	return fleet
}

// add adds the rates of one instance, in the order of ServiceDemand.totals.
func (r *Rates) add(perSecond [demandTotals]float64) {
	const millisPerSecond = 1000
	r.Requests += perSecond[0]
	r.UrgentRequests += perSecond[1]
	r.Refused += perSecond[2]
	r.Late += perSecond[3]
	r.PromptTokens += perSecond[4]
	r.UncachedTokens += perSecond[5]
	r.HandoffSlots += perSecond[6] / millisPerSecond
	r.StreamSlots += perSecond[7] / millisPerSecond
	r.UrgentSlots += perSecond[8] / millisPerSecond
}
