// Package activity collects what the instances serve: the requests that replicas began to run, by workspace, and the
// demand for each service. Every instance reports its own totals to two collectors, from which the holder of the duties
// reads the figures of the whole fleet.
package activity

// ServiceDemand is the demand that one instance has seen for a service since it started. All fields but
// PrefillTokensPerMs are totals that only grow.
type ServiceDemand struct {
	// Requests were offered by callers, retries by callers included. UrgentRequests are those with the most urgent
	// priority of the service.
	Requests, UrgentRequests uint64
	// Refused requests found no room. Late ones got their first byte after the target of their route.
	Refused, Late uint64
	// PromptTokens are the tokens of the offered prompts, UncachedTokens those that had to be processed by the estimate
	// at placement.
	PromptTokens, UncachedTokens uint64
	// HandoffSlotMillis is the time that handed-off prompts took batch slots of decode replicas, StreamSlotMillis that of
	// other generations. UrgentSlotMillis is the part of both that belongs to the most urgent priority.
	HandoffSlotMillis, StreamSlotMillis, UrgentSlotMillis uint64
	// PrefillTokensPerMs is the latest estimate of the prompt speed of a prefill replica, 0 if unknown.
	PrefillTokensPerMs float64
}

// demandTotals is the number of totals of a ServiceDemand.
const demandTotals = 9

// totals returns the totals in the order in which they are sent, which must not change.
func (d *ServiceDemand) totals() [demandTotals]uint64 {
	return [demandTotals]uint64{
		d.Requests, d.UrgentRequests, d.Refused, d.Late, d.PromptTokens, d.UncachedTokens, d.HandoffSlotMillis, d.StreamSlotMillis,
		d.UrgentSlotMillis,
	}
}

// demandOf returns the demand with the given totals.
func demandOf(t [demandTotals]uint64, prefillTokensPerMs float64) ServiceDemand {
	return ServiceDemand{
		Requests: t[0], UrgentRequests: t[1], Refused: t[2], Late: t[3], PromptTokens: t[4], UncachedTokens: t[5], HandoffSlotMillis: t[6],
		StreamSlotMillis: t[7], UrgentSlotMillis: t[8], PrefillTokensPerMs: prefillTokensPerMs,
	}
}

// plus returns the sum of the totals. The gauge is that of d.
func (d ServiceDemand) plus(more ServiceDemand) ServiceDemand {
	sum, added := d.totals(), more.totals()
	for i := range sum {
		sum[i] += added[i]
	}
	return demandOf(sum, d.PrefillTokensPerMs)
}
