package claim

import "github.com/rcrowley/go-metrics"

// sampleSize is the number of values that a histogram keeps.
const sampleSize = 256

// stats are the package's metrics.
type stats struct {
	runs, sent, repeats, notRun, unknown, direct           metrics.Counter
	reads, writes, conflicts, refusals, ambiguous, evicted metrics.Counter
	written                                                metrics.Counter // bytes
	batch, bytes                                           metrics.Histogram
}

func newStats(r metrics.Registry) *stats {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("claim."+name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram("claim."+name, r, metrics.NewUniformSample(sampleSize))
	}
	return &stats{
		runs: counter("runs"), sent: counter("sent"), repeats: counter("repeats"),
		notRun: counter("not_run"), unknown: counter("unknown"), direct: counter("direct"),
		reads: counter("store.reads"), writes: counter("store.writes"), conflicts: counter("store.conflicts"),
		refusals: counter("store.refusals"), ambiguous: counter("store.ambiguous"),
		evicted: counter("outcomes.evicted"), written: counter("store.written_bytes"),
		batch: histogram("store.batch_records"), bytes: histogram("store.slot_bytes"),
	}
}

func (s *stats) count(err *Error) {
	switch err.Run {
	case NotRun:
		s.notRun.Inc(1)
	case RunUnknown:
		s.unknown.Inc(1)
	}
}
