package usage

import "github.com/rcrowley/go-metrics"

// stats holds the metrics of a Reporter.
type stats struct {
	decided, sent, notSent, missed, storeFailed metrics.Counter
}

func newStats(r metrics.Registry) *stats {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("usage."+name, r) }
	return &stats{
		decided: counter("windows_decided"), sent: counter("reports_sent"), notSent: counter("reports_not_sent"),
		missed: counter("windows_missed"), storeFailed: counter("store_failures"),
	}
}
