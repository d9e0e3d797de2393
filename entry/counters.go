package entry

import (
	"github.com/rcrowley/go-metrics"
)

// counters are the server's metrics.
type counters struct {
	requests, failed, attempts, retries, resumed, crashes, callerGone metrics.Counter
	// firstToken is in milliseconds.
	firstToken metrics.Histogram
}

func newCounters(r metrics.Registry) *counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("entry."+name, r) }
	return &counters{
		requests: counter("requests"), failed: counter("failed"), attempts: counter("attempts"),
		retries: counter("retries"), resumed: counter("resumed"), crashes: counter("crashes"),
		callerGone: counter("caller_gone"),
		firstToken: metrics.GetOrRegisterHistogram("entry.first_token_ms", r, metrics.NewExpDecaySample(1028, 0.015)),
	}
}
