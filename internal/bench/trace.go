package bench

import "time"

// Trace is a load with the faults that happen under it.
type Trace struct {
	Name     string
	Requests []Request
	// Length is the time in which requests arrive.
	Length time.Duration
	Faults Faults
}

// Faults are what goes wrong during a trace.
type Faults struct {
	// ReportLag is the time from a load report to its arrival at the instances. Reports are made each second.
	ReportLag time.Duration
	// EventLag is the time from a cache event to its arrival, EventLoss the share of events that are lost.
	EventLag  time.Duration
	EventLoss float64
	// Withdrawn lists engines that are taken away for a time.
	Withdrawn []Withdrawal
}

// Withdrawal takes an engine away: it finishes what it runs, ends, and starts again with an empty cache.
type Withdrawal struct {
	Engine int
	From   time.Duration
	To     time.Duration
}

func normalFaults() Faults {
	return Faults{ReportLag: 300 * time.Millisecond, EventLag: time.Second, EventLoss: 0.02}
}

// warmupLimit is the time at the start that is not counted: caches are empty and no policy knows the mix yet, while a
// schedule made in hindsight would start in the right roles.
const warmupLimit = 60 * time.Second

func (t *Trace) warmup() time.Duration { return min(warmupLimit, t.Length/10) }

// counted is the number of requests after the warm-up.
func (t *Trace) counted() int {
	n := 0
	for i := range t.Requests {
		if t.Requests[i].at() >= t.warmup() {
			n++
		}
	}
	return n
}
