package peer

import "github.com/rcrowley/go-metrics"

// stats holds the metrics of a transport. Bytes and packets are counted at the connections: they include the framing of
// yamux, but not TCP and IP headers. A packet is one write.
type stats struct {
	bytesIn, bytesOut, packetsOut metrics.Counter
	calls, callsServed            metrics.Counter
	callsNotSent, callsNoResponse metrics.Counter
	framesRefused, callsRefused   metrics.Counter
	dials                         metrics.Counter
	sessions                      metrics.Gauge
}

func newStats(r metrics.Registry) *stats {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("peer."+name, r) }
	return &stats{
		bytesIn: counter("bytes_in"), bytesOut: counter("bytes_out"), packetsOut: counter("packets_out"),
		calls: counter("calls"), callsServed: counter("calls_served"),
		callsNotSent: counter("calls_not_sent"), callsNoResponse: counter("calls_no_answer"),
		framesRefused: counter("frames_refused"), callsRefused: counter("calls_refused"), dials: counter("dials"),
		sessions: metrics.GetOrRegisterGauge("peer.sessions", r),
	}
}
