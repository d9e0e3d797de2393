package bench

import "time"

// Trace is a sequence of requests and the faults that happen meanwhile.
type Trace struct {
	Name     string
	Requests []Request
	// Length is how long requests arrive.
	Length time.Duration
	Faults Faults
}

// Faults are the delays, losses and withdrawals during a trace.
type Faults struct {
	// ReportLag is the time from a load report to its arrival at the instances. Reports are made each second.
	ReportLag time.Duration
	// EventLag is the time from a cache event to its arrival, EventLoss the share of events that are lost.
	EventLag  time.Duration
	EventLoss float64
	// Withdrawn lists engines that are unavailable for a time.
	Withdrawn []Withdrawal
}

// Withdrawal makes an engine unavailable: it finishes its requests, stops, and later restarts with an empty cache.
type Withdrawal struct {
	Engine int
	From   time.Duration
	To     time.Duration
}

// defaultFaults returns the lags and losses of most traces, without withdrawals.
func defaultFaults() Faults {
	return Faults{ReportLag: 300 * time.Millisecond, EventLag: time.Second, EventLoss: 0.02}
}

// maxWarmup is the longest warm-up. Requests that arrive during the warm-up are not counted, since caches are empty and
// no policy knows the mix yet, while a schedule made in hindsight would start in the right roles.
const maxWarmup = 60 * time.Second

func (t *Trace) warmup() time.Duration { return min(maxWarmup, t.Length/10) }

// countedRequests returns the number of requests after the warm-up.
func (t *Trace) countedRequests() int {
	n := 0
	for i := range t.Requests {
		if t.Requests[i].arrival() >= t.warmup() {
			n++
		}
	}
	return n
}
