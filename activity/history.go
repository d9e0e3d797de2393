package activity

import "time"

const (
	// maxSamples bounds the reports of an instance that are kept for rates. It covers maxRateTime at one report a second.
	maxSamples = 12
	// maxRateTime is the longest time over which rates can be computed.
	maxRateTime = 10 * time.Second
	// minRateTime is the shortest time over which rates are computed. Reports are a second apart when they are sent, but a
	// link that was slow can deliver two at once.
	minRateTime = 500 * time.Millisecond
	// reportLag is the age from which the latest report of an instance counts as still correct: the instance has sent
	// nothing since, so nothing has changed. It is reportInterval and the longest delivery.
	reportLag = 1500 * time.Millisecond
	// maxReportAge is the age from which the reports of an instance are not used: it is gone, because it sends a report at
	// least every keepaliveInterval.
	maxReportAge = 6 * time.Second
)

// sample is the demand in one report, and the local time of its receipt.
type sample struct {
	at     time.Time
	demand map[string]ServiceDemand
}

// history holds the latest reports of one instance, oldest first.
type history struct {
	zone    string
	samples []sample
}

// add appends a sample and drops those that are not needed for any rate.
func (h *history) add(s sample) {
	h.samples = append(h.samples, s)
	for len(h.samples) > maxSamples || len(h.samples) > 2 && s.at.Sub(h.samples[1].at) >= maxRateTime+reportLag {
		h.samples[0] = sample{}
		h.samples = h.samples[1:]
	}
}

// rates returns the increase of the totals of a service per second over a time until now, and the time at which the last
// report that it uses was received. Nothing is known with fewer than two reports, with reports of less than minRateTime, or
// after maxReportAge.
func (h *history) rates(now time.Time, over time.Duration, service string) (perSecond [demandTotals]float64, latest time.Time, known bool) {
	if len(h.samples) < 2 {
		return perSecond, latest, false
	}
	latest = h.samples[len(h.samples)-1].at
	if now.Sub(latest) >= maxReportAge {
		return perSecond, latest, false
	}
	end := latest
	if now.Sub(latest) > reportLag {
		end = now.Add(-reportLag)
	}
	start := end.Add(-over)
	if first := h.samples[0].at; start.Before(first) {
		start = first
	}
	if end.Sub(start) < minRateTime {
		return perSecond, latest, false
	}
	from, to := h.totalsAt(start, service), h.totalsAt(end, service)
	for i := range perSecond {
		perSecond[i] = max(0, to[i]-from[i]) / end.Sub(start).Seconds()
	}
	return perSecond, latest, true
}

// totalsAt returns the totals at a time, interpolated between two reports.
func (h *history) totalsAt(at time.Time, service string) (totals [demandTotals]float64) {
	next := 0
	for next < len(h.samples) && h.samples[next].at.Before(at) {
		next++
	}
	before, after := h.samples[max(0, next-1)], h.samples[min(next, len(h.samples)-1)]
	part := 0.0
	if span := after.at.Sub(before.at); span > 0 {
		part = min(1, at.Sub(before.at).Seconds()/span.Seconds())
	}
	low, high := before.demand[service], after.demand[service]
	lows, highs := low.totals(), high.totals()
	for i := range totals {
		totals[i] = float64(lows[i]) + part*(float64(highs[i])-float64(lows[i]))
	}
	return totals
}
