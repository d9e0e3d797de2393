package claim

import "github.com/rcrowley/go-metrics"

// sampleSize is the number of values in the sample of a histogram.
const sampleSize = 256

// stats holds the package's metrics.
type stats struct {
	runs, sent, duplicates, notRun, unknown, direct        metrics.Counter
	reads, writes, conflicts, refusals, ambiguous, evicted metrics.Counter
	writtenBytes                                           metrics.Counter
	batchRecords, slotBytes                                metrics.Histogram
}

func newStats(r metrics.Registry) *stats {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("claim."+name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram("claim."+name, r, metrics.NewUniformSample(sampleSize))
	}
	return &stats{
		runs: counter("runs"), sent: counter("sent"), duplicates: counter("repeats"),
		notRun: counter("not_run"), unknown: counter("unknown"), direct: counter("direct"),
		reads: counter("store.reads"), writes: counter("store.writes"), conflicts: counter("store.conflicts"),
		refusals: counter("store.refusals"), ambiguous: counter("store.ambiguous"),
		evicted: counter("outcomes.evicted"), writtenBytes: counter("store.written_bytes"),
		batchRecords: histogram("store.batch_records"), slotBytes: histogram("store.slot_bytes"),
	}
}

// countError counts an error by its RunState.
func (s *stats) countError(err *Error) {
	switch err.Run {
	case NotRun:
		s.notRun.Inc(1)
	case RunUnknown:
		s.unknown.Inc(1)
	}
}
