package member

import "github.com/rcrowley/go-metrics"

// stats holds the metrics of the membership.
type stats struct {
	heartbeats, heartbeatsFailed, heartbeatsReceived metrics.Counter
	pushes, pushesReceived, syncs, fetches           metrics.Counter
	recordBytes                                      [kindCount]metrics.Counter // bytes sent, by kind of record
	beatBytes                                        metrics.Counter
	loadsReceived, loadsRepeated                     metrics.Counter
	polls, pollsFailed                               metrics.Counter
	live                                             metrics.Gauge
}

func newStats(r metrics.Registry) *stats {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("member."+name, r) }
	st := &stats{
		heartbeats: counter("heartbeats"), heartbeatsFailed: counter("heartbeats_failed"),
		heartbeatsReceived: counter("heartbeats_received"),
		pushes:             counter("pushes"), pushesReceived: counter("pushes_received"),
		syncs: counter("syncs"), fetches: counter("config_fetches"), beatBytes: counter("beat_bytes"),
		loadsReceived: counter("loads_received"), loadsRepeated: counter("loads_repeated"),
		polls: counter("polls"), pollsFailed: counter("polls_failed"),
		live: metrics.GetOrRegisterGauge("member.live", r),
	}
	for k := range kindCount {
		st.recordBytes[k] = counter("record_bytes_" + k.String())
	}
	return st
}
