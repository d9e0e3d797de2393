package peer

import "github.com/rcrowley/go-metrics"

// stats counts the traffic of a transport. Bytes and packets are those written to and read from connections, with the
// framing of yamux but without TCP and IP headers; a packet is one write.
type stats struct {
	bytesIn, bytesOut, packetsOut metrics.Counter
	calls, served                 metrics.Counter
	notSent, noAnswer             metrics.Counter
	refusedFrames, refusedCalls   metrics.Counter
	dials                         metrics.Counter
	sessions                      metrics.Gauge
}

func newStats(r metrics.Registry) *stats {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("peer."+name, r) }
	return &stats{
		bytesIn: counter("bytes_in"), bytesOut: counter("bytes_out"), packetsOut: counter("packets_out"),
		calls: counter("calls"), served: counter("calls_served"),
		notSent: counter("calls_not_sent"), noAnswer: counter("calls_no_answer"),
		refusedFrames: counter("frames_refused"), refusedCalls: counter("calls_refused"), dials: counter("dials"),
		sessions: metrics.GetOrRegisterGauge("peer.sessions", r),
	}
}
