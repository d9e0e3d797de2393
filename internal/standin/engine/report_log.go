package engine

import (
	"time"

	"rhubarbpoint/engine"
)

// arrivalWindow is the time over which the rate of new requests is measured.
const arrivalWindow = 10 * time.Second

// reportLog holds back load reports until they are as old as the lag. It is guarded by the engine's mutex.
type reportLog struct {
	reports []engine.LoadReport
}

func (l *reportLog) add(report engine.LoadReport, lag time.Duration) {
	l.reports = append(l.reports, report)
	l.prune(report.At, lag)
}

// visible returns the newest report that is at least as old as the lag, or else the oldest one. If the report is older
// than the lag, its time becomes now minus the lag, since the load has not changed in between; so the reports of an
// idle engine do not age.
func (l *reportLog) visible(now time.Time, lag time.Duration) engine.LoadReport {
	l.prune(now, lag)
	report := l.reports[0]
	if visibleTime := now.Add(-lag); visibleTime.After(report.At) {
		report.At = visibleTime
	}
	return report
}

func (l *reportLog) prune(now time.Time, lag time.Duration) {
	visibleTime := now.Add(-lag)
	for len(l.reports) > 1 && !l.reports[1].At.After(visibleTime) {
		l.reports = l.reports[1:]
	}
}

// recordLoad adds a report of the current load to the log. The caller holds the mutex.
func (e *Engine) recordLoad() {
	now := time.Now()
	b := &e.batch
	for len(b.arrivals) > 0 && now.Sub(b.arrivals[0]) > arrivalWindow {
		b.arrivals = b.arrivals[1:]
	}
	report := engine.LoadReport{
		EngineID: e.opts.ID, Epoch: e.epoch, At: now, Role: e.orders.role,
		Models: append([]engine.LoadedModel(nil), e.orders.models...), Draining: e.draining,
		Running: len(b.running), Waiting: len(b.waiting),
		ArrivalsPerSecond:      float64(len(b.arrivals)) / arrivalWindow.Seconds(),
		PrefillTokensPerSecond: e.opts.PrefillTokensPerSecond, StepSeconds: b.lastStep.Seconds(),
		KVUsed: float64(len(b.running)) / float64(e.opts.MaxRunning), MaxRunning: e.opts.MaxRunning,
	}
	for _, j := range b.waiting {
		report.WaitingTokens += j.prompt.Tokens
	}
	for _, j := range b.running {
		report.WaitingTokens += j.prefillLeft
	}
	e.reports.add(report, e.opts.LoadLag)
}
