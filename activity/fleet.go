package activity

import "time"

// Fleet is the demand of the whole fleet, by service and by the availability zone of the instances that saw it.
type Fleet struct {
	Zones map[string]map[string]Rates
}

// Rates is the demand for a service in one zone, per second. The fields correspond to those of ServiceDemand; slot time
// per second is a number of slots.
type Rates struct {
	Requests, UrgentRequests               float64
	Refused, Late                          float64
	PromptTokens, UncachedTokens           float64
	HandoffSlots, StreamSlots, UrgentSlots float64
	PrefillTokensPerMs                     float64
	// Age is the time since the oldest report that the figures use was sent.
	Age time.Duration
	// Instances is the number of instances that reported.
	Instances int
}
