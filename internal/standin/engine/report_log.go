package engine

import (
	"time"

	"rhubarbpoint/engine"
)

// arrivalWindow is the span over which the rate of new requests is measured.
const arrivalWindow = 10 * time.Second

// reportLog keeps load reports until they are old enough to be shown. It is guarded by the engine's mutex.
type reportLog struct {
	reports []engine.LoadReport
}

func (l *reportLog) add(report engine.LoadReport, lag time.Duration) {
	l.reports = append(l.reports, report)
	l.prune(report.At, lag)
}

// shown returns the newest report that is at least as old as the lag, or the oldest one. A load that has not changed
// since is still the load, so an idle engine reports the present time less the lag.
func (l *reportLog) shown(now time.Time, lag time.Duration) engine.LoadReport {
	l.prune(now, lag)
	report := l.reports[0]
	if shown := now.Add(-lag); shown.After(report.At) {
		report.At = shown
	}
	return report
}

func (l *reportLog) prune(now time.Time, lag time.Duration) {
	old := now.Add(-lag)
	for len(l.reports) > 1 && !l.reports[1].At.After(old) {
		l.reports = l.reports[1:]
	}
}

// publish adds a report of the present load. The caller holds the mutex.
func (e *Engine) publish() {
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
		PrefillTokensPerSecond: e.opts.PrefillTokensPerSecond, StepSeconds: b.step.Seconds(),
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
