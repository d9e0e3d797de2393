package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Measurements are kept for latencyPeriods × latencyPeriod. Less leaves too few of the slow ones at 30 requests/s;
	// more delays the adaptation to a service that has changed.
	latencyPeriods = 5
	latencyPeriod  = 6 * time.Second
	// snapshotAge is how old a snapshot may be before a new one is made, which takes some tens of microseconds.
	snapshotAge = 250 * time.Millisecond
	// maxLatency bounds what is recorded; longer times count as this one.
	maxLatency = 2 * time.Minute
	// significantDigits is the precision of the histograms: 1 %.
	significantDigits = 2
)

// latency holds the response times of the last half minute in rotating histograms. It is not safe for concurrent use.
type latency struct {
	window    *hdrhistogram.WindowedHistogram
	rotatedAt time.Time
	snapshot  *Distribution
	takenAt   time.Time
}

func newLatency() *latency {
	return &latency{
		window:   hdrhistogram.NewWindowed(latencyPeriods, 1, maxLatency.Microseconds(), significantDigits),
		snapshot: newDistribution(nil),
	}
}

// record adds a response time.
func (l *latency) record(now time.Time, took time.Duration) {
	l.rotate(now)
	// A value in range is always recorded.
	_ = l.window.Current.RecordValue(min(max(took, time.Microsecond), maxLatency).Microseconds())
}

// distribution returns a snapshot that is at most snapshotAge old.
func (l *latency) distribution(now time.Time) *Distribution {
	l.rotate(now)
	if l.takenAt.IsZero() || now.Sub(l.takenAt) >= snapshotAge {
		l.snapshot, l.takenAt = newDistribution(l.window.Merge().Distribution()), now
	}
	return l.snapshot
}

// rotate drops the measurements of periods that have left the window.
func (l *latency) rotate(now time.Time) {
	if l.rotatedAt.IsZero() {
		l.rotatedAt = now
	}
	periods := int(now.Sub(l.rotatedAt) / latencyPeriod)
	if periods <= 0 {
		return
	}
	for range min(periods, latencyPeriods) {
		l.window.Rotate()
	}
	l.rotatedAt = l.rotatedAt.Add(time.Duration(periods) * latencyPeriod)
}
