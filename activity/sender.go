package activity

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/truetime"
)

const (
	// reportInterval is the time between two reports of an instance whose counts change.
	reportInterval = time.Second
	// keepaliveInterval is the longest time between two reports. An unchanged report says that the counts are final, that
	// the instance is live, and what its wall clock shows; truetime uses clocks of the last 5 s.
	keepaliveInterval = 2 * time.Second
	// callTimeout bounds a call to a collector. It is several round trips between regions, and less than reportInterval.
	callTimeout = 800 * time.Millisecond
	// unsentTime is the time after which the reports of an instance that reaches no collector count as lost.
	unsentTime = 10 * time.Second
)

// Run sends reports until the context ends. It does not send the last report; see SendLast.
func (e *Exchange) Run(ctx context.Context) {
	// The first wait spreads the reports of instances that start together over the interval.
	wait := time.Duration(xxhash.Sum64String(e.opts.Self) % uint64(reportInterval))
	for sleep.For(ctx, wait) {
		if started := time.Now(); e.opts.Needed() {
			e.send(ctx, false)
			wait = max(reportInterval-time.Since(started), 0)
		} else {
			wait = reportInterval
		}
	}
}

// SendLast sends the final counts of an instance that stops, after its last request and before its listener for peers
// is closed. It does not wait for a report that Run is sending: a collector ignores a report that a later one overtook.
func (e *Exchange) SendLast(ctx context.Context) {
	if !e.opts.Needed() {
		return
	}
	if !e.send(ctx, true) {
		eventLastReportLost.Log(ctx, e.opts.Logger)
	}
}

// send sends a report to each collector that lacks something, or to all with force. It reports whether the counts of this
// instance survive it: another instance has confirmed everything, or there is none.
func (e *Exchange) send(ctx context.Context, force bool) (safe bool) {
	now := time.Now()
	live, collectors := len(e.opts.Members.Live()), e.collectors(now)
	due := e.due(now, collectors, force)
	safe = live <= 1
	for _, collector := range collectors {
		safe = safe || collector != e.opts.Self && !slices.Contains(due, collector)
	}
	if len(due) > 0 {
		r, changes := e.opts.Recorder.Report(now, e.opts.NeedDemand())
		estimates := make([]truetime.Estimate, len(due))
		confirmed := make([]bool, len(due))
		var calls sync.WaitGroup
		for i, collector := range due {
			calls.Go(func() { estimates[i], confirmed[i] = e.sendTo(ctx, collector, r, changes) })
		}
		calls.Wait()
		for i, collector := range due {
			safe = safe || collector != e.opts.Self && confirmed[i]
		}
		e.opts.Clock.Update(ctx, estimates, live)
	}
	e.recordRound(ctx, now, safe)
	return safe
}

// due returns the collectors that lack a change, or that have had no report for keepaliveInterval, and forgets those
// that have had none for long.
func (e *Exchange) due(now time.Time, collectors []string, force bool) []string {
	changes := e.opts.Recorder.changeCount()
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, receiver := range e.receivers {
		if now.Sub(receiver.at) >= storedLifetime {
			delete(e.receivers, id)
			delete(e.roundTrips, id)
		}
	}
	var due []string
	for _, id := range collectors {
		// Half an interval less, because the rounds are reportInterval apart on average only.
		if r := e.receivers[id]; force || r == nil || r.changes != changes || now.Sub(r.at) >= keepaliveInterval-reportInterval/2 {
			due = append(due, id)
		}
	}
	return due
}

// sendTo sends a report to a collector: what it lacks, or the whole report if that is refused. It returns the collector's
// estimate of true time, and whether it has the report.
func (e *Exchange) sendTo(ctx context.Context, collector string, r *Report, changes uint64) (truetime.Estimate, bool) {
	e.mu.Lock()
	var base *Report
	if known := e.receivers[collector]; known != nil {
		base = known.acked
	}
	e.mu.Unlock()
	estimate, whole, ok := e.pushTo(ctx, collector, r, base)
	if ok && whole && base != nil {
		estimate, whole, ok = e.pushTo(ctx, collector, r, nil)
	}
	if !ok || whole {
		return estimate, false
	}
	e.mu.Lock()
	e.receivers[collector] = &receiver{acked: r, changes: changes, at: time.Now()}
	e.mu.Unlock()
	return estimate, true
}

// pushTo makes one call. The wall clock is sent as it will be when the report arrives. whole says that the collector needs a whole report.
func (e *Exchange) pushTo(ctx context.Context, collector string, r, base *Report) (estimate truetime.Estimate, whole, ok bool) {
	sequence := uint64(0)
	if base != nil {
		sequence, r = base.Sequence, r.since(base)
	}
	if collector == e.opts.Self {
		result := e.opts.Collector.push(time.Now(), r, sequence)
		return truetime.Received(result.trueTime, result.clocks, e.opts.Clock.Boot(), 0), result.whole, true
	}
	var table nameTable
	report := table.encode(r)
	report.Instance = ""
	e.mu.Lock()
	travel := (e.roundTrips[collector] / 2).Milliseconds()
	e.mu.Unlock()
	report.WallMillis, report.TrueOffset = report.WallMillis+travel, report.TrueOffset-travel
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := e.opts.Clock.Boot()
	resp, err := e.opts.Peers.Call(ctx, collector, &peerpb.Request{Call: &peerpb.Request_PushActivity{
		PushActivity: &peerpb.PushActivity{Names: table.names, Report: report, Base: sequence},
	}})
	e.health.record(time.Now(), collector, err == nil)
	pushed := resp.GetActivityPushed()
	if err != nil || pushed == nil {
		e.stats.notSent.Inc(1)
		return estimate, false, false
	}
	e.stats.sent.Inc(1)
	e.stats.bytes.Inc(int64(reportSize(table.names, report)))
	boot := e.opts.Clock.Boot()
	e.mu.Lock()
	e.roundTrips[collector] = boot.Sub(sent)
	e.mu.Unlock()
	return truetime.Received(time.UnixMicro(pushed.GetTrueMicros()), int(pushed.GetClocks()), boot, boot.Sub(sent)), pushed.GetWhole(), true
}

// recordRound counts the reports that reached no other instance for unsentTime.
func (e *Exchange) recordRound(ctx context.Context, now time.Time, safe bool) {
	e.mu.Lock()
	since := e.unsentSince
	switch {
	case safe:
		e.unsentSince = time.Time{}
	case since.IsZero() || now.Sub(since) >= unsentTime:
		e.unsentSince = now
	}
	e.mu.Unlock()
	if !safe && !since.IsZero() && now.Sub(since) >= unsentTime {
		e.stats.dropped.Inc(1)
		eventReportDropped.Log(ctx, e.opts.Logger, slog.Duration("since", now.Sub(since)))
	}
}
