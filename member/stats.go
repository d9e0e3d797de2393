package member

import "github.com/rcrowley/go-metrics"

// stats counts messages and the bytes of their records.
type stats struct {
	heartbeats, heartbeatsFailed, heartbeatsIn metrics.Counter
	pushes, pushesIn, syncs, fetches           metrics.Counter
	recordBytes                                [kindCount]metrics.Counter // sent, by kind of record
	beatBytes                                  metrics.Counter
	loads, loadsRepeated                       metrics.Counter
	polls, pollsFailed                         metrics.Counter
	live                                       metrics.Gauge
}

func newStats(r metrics.Registry) *stats {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("member."+name, r) }
	st := &stats{
		heartbeats: counter("heartbeats"), heartbeatsFailed: counter("heartbeats_failed"),
		heartbeatsIn: counter("heartbeats_received"), pushes: counter("pushes"), pushesIn: counter("pushes_received"),
		syncs: counter("syncs"), fetches: counter("config_fetches"), beatBytes: counter("beat_bytes"), loads: counter("loads_received"), loadsRepeated: counter("loads_repeated"),
		polls: counter("polls"), pollsFailed: counter("polls_failed"),
		live: metrics.GetOrRegisterGauge("member.live", r),
	}
	for k := range kindCount {
		st.recordBytes[k] = counter("record_bytes_" + k.String())
	}
	return st
}
