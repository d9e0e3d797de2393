package authority

import "github.com/rcrowley/go-metrics"

// stats holds the counters of this package.
type stats struct {
	terms, lost, orders, applied, refused, unresolved, resolved, gatesReplaced metrics.Counter
	gateSent, gateRefused                                                      metrics.Counter
}

func newStats(r metrics.Registry) *stats {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("authority."+name, r) }
	return &stats{
		terms: counter("terms"), lost: counter("lost"), orders: counter("orders"), applied: counter("applied"),
		refused: counter("refused"), unresolved: counter("unresolved"), resolved: counter("resolved"),
		gatesReplaced: counter("gates_replaced"), gateSent: counter("gate.sent"), gateRefused: counter("gate.refused"),
	}
}
