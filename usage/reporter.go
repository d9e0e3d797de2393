// Package usage reports to the platform how many requests of each workspace replicas began to run in each window of true
// time. The holder of the duties decides the counts of a window, writes them into the store, and sends only what is
// written there, so that the platform never gets two different reports for one window.
package usage

import (
	"bytes"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/activity"
	"rhubarbpoint/duty"
	"rhubarbpoint/internal/boottime"
	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/topo"
	"rhubarbpoint/truetime"
)

const (
	// Key holds the latest decided windows.
	Key = "rhubarbpoint/usage"
	// tickInterval is the time between two plans.
	tickInterval = 250 * time.Millisecond
	// fetchInterval is the least time between two fetches of counts that are not complete.
	fetchInterval = 500 * time.Millisecond
	// callTimeout bounds a call to the store or the control API. A call must end within a second after the term is
	// checked.
	callTimeout = time.Second
	// startMargin is above the usual error of an estimate of true time, which is a round trip between regions.
	startMargin = 100 * time.Millisecond
	// logInterval is the least time between two log lines of the same failure.
	logInterval = time.Second
)

// Options configure a Reporter.
type Options struct {
	Schedule  Schedule
	Store     topo.Store
	Authority duty.Authority
	// Need is called while usage must be reported, with true, so that an instance campaigns for the duties. It may be nil.
	Need      func(now time.Time, needed bool)
	Sender    Sender
	Encode    Encoder
	Clock     *truetime.Clock
	Exchange  *activity.Exchange
	Collector *activity.Collector
	// Live returns the IDs of the live members, this process included.
	Live    func() []string
	Logger  *slog.Logger
	Metrics metrics.Registry
}

// Reporter decides and sends the usage reports while this instance holds the duties. Run must be called once.
type Reporter struct {
	opts  Options
	stats *stats
	// startedAt is when the process started, by the boot-time clock.
	startedAt boottime.Instant

	// The fields below belong to the goroutine of Run, except that mu guards those that State reads.
	mu sync.Mutex
	// fence is that of the term to which the other fields belong, 0 if none.
	fence int64
	// known is set if revision and decided are what the store has, which is uncertain after a failed write. confirmed is
	// set if decided was read or written in this term, so that its windows are certainly in the store.
	known     bool
	confirmed bool
	revision  int64
	decided   []Decided
	sending   map[int64]sending
	// first is the first window that may be reported after the decided ones were unreadable, if firstKnown is set.
	first      int64
	firstKnown bool
	// missedThrough is the last window that was counted as missed.
	missedThrough int64

	// begunAt is the time of the first tick of the term.
	begunAt time.Time

	fetchedAt, readAt, loggedStoreAt, loggedFetchAt time.Time

	// observed are the latest decided windows that the watch of the store has shown, guarded by observedMu.
	observedMu sync.Mutex
	observed   []Decided
}

// NewReporter returns a Reporter that does nothing before Run.
func NewReporter(opts Options) *Reporter {
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	return &Reporter{opts: opts, stats: newStats(opts.Metrics), startedAt: opts.Clock.Boot(), sending: make(map[int64]sending)}
}

// Run reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	for sleep.For(ctx, tickInterval) {
		if r.opts.Need != nil {
			r.opts.Need(time.Now(), true)
		}
		r.tick(ctx)
	}
}

// Observe records a change of a key that the watch of the store has shown; other keys than Key are ignored. What it shows stays
// decided even if the store is restored from an older copy, since a former holder may have sent it. It is safe for concurrent
// use.
func (r *Reporter) Observe(entry topo.Entry) {
	if entry.Key != Key || entry.Value == nil {
		return
	}
	decided, err := decodeDecided(entry.Value)
	if err != nil {
		return // whoever reads the key for a decision reports it
	}
	r.observedMu.Lock()
	defer r.observedMu.Unlock()
	r.observed = merge(decided, r.observed, r.opts.Schedule.keptWindows())
}

// tick makes one plan and carries it out.
func (r *Reporter) tick(ctx context.Context) {
	term, held := r.opts.Authority.Term(time.Now())
	if !held || !r.opts.Clock.Known() {
		return
	}
	r.begin(term)
	if r.known || r.read(ctx) {
		plan := next(r.state())
		r.recordMissed(ctx, plan)
		if plan.Fetch && r.fetch(ctx) {
			plan = next(r.state())
		}
		if len(plan.Decide) > 0 || r.known && !r.confirmed {
			r.decide(ctx, plan.Decide)
		}
	}
	if !r.confirmed {
		return
	}
	// Windows that the store has confirmed are sent even if it does not respond now.
	for _, d := range next(r.state()).Send {
		if !r.send(ctx, d) {
			return // one call at a time; the others are tried in the next ticks
		}
	}
}

// begin forgets what belongs to another term.
func (r *Reporter) begin(term duty.Term) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fence != term.Fence {
		r.fence, r.known, r.confirmed, r.sending = term.Fence, false, false, make(map[int64]sending)
		r.begunAt = time.Now()
	}
}

// state returns the state for a plan at true time.
func (r *Reporter) state() State {
	return State{
		Now: r.opts.Clock.Now(time.Now()), Schedule: r.opts.Schedule, First: r.firstWindow(), Decided: r.decided, Sending: r.sending,
		Complete: func(window int64) bool { return len(r.missing(window)) == 0 },
		Unfetched: func(window int64) bool {
			return time.Since(r.begunAt) < startPatience && 2*len(r.missing(window)) > len(r.opts.Live())
		},
	}
}

// missing returns the live instances whose counts of a window may still grow.
func (r *Reporter) missing(window int64) []string {
	final := r.opts.Schedule.End(window).Add(activity.FinalAfter).UnixMilli()
	sent := r.opts.Collector.LastSent()
	return slices.DeleteFunc(r.opts.Live(), func(id string) bool { return sent[id] >= final })
}

// firstWindow returns the first window of the deployment, for when none was decided yet: that in which a request was
// counted or this process started, whichever is earlier. Earlier windows had no instance that could count. The start is
// taken as startMargin later, so that an error of the estimate does not add an empty window.
func (r *Reporter) firstWindow() int64 {
	if r.firstKnown {
		return r.first
	}
	now := r.opts.Clock.Now(time.Now())
	first := r.opts.Schedule.Containing(now.Add(startMargin - r.opts.Clock.Boot().Sub(r.startedAt)))
	if counted, found := r.opts.Collector.FirstWindow(); found {
		first = min(first, counted)
	}
	return first
}

// recordMissed counts the windows that were missed since the last time.
func (r *Reporter) recordMissed(ctx context.Context, p Plan) {
	first := max(p.MissedFirst, r.missedThrough+1)
	if p.MissedLast < first {
		return
	}
	r.missedThrough = p.MissedLast
	r.stats.missed.Inc(p.MissedLast - first + 1)
	eventMissed.Log(ctx, r.opts.Logger, slog.Int64("first", first), slog.Int64("last", p.MissedLast))
}

// read reads the decided windows. Those that the store has lost and this instance knows stay decided. If they cannot be decoded, nobody knows which windows were decided, so only those that have not ended yet are reported.
func (r *Reporter) read(ctx context.Context) bool {
	if time.Since(r.readAt) < tickInterval {
		return false
	}
	r.readAt = time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := r.opts.Store.Get(call, Key)
	var decided []Decided
	switch {
	case errors.Is(err, topo.ErrNotFound):
		entry.Revision = 0
	case err != nil:
		r.logStoreFailure(ctx, errors.Wrap(err, "usage: read the key"))
		return false
	default:
		if decided, err = decodeDecided(entry.Value); err != nil {
			r.logStoreFailure(ctx, err)
			r.first, r.firstKnown = r.opts.Schedule.Containing(r.opts.Clock.Now(time.Now())), true
		}
	}
	r.observedMu.Lock()
	observed := r.observed
	r.observedMu.Unlock()
	kept := r.opts.Schedule.keptWindows()
	known := merge(merge(decided, r.decided, kept), observed, kept)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known, r.confirmed, r.revision, r.decided = true, len(known) == len(decided), entry.Revision, known
	return true
}

// fetch fetches the counts, unless it did so just before. It reports whether it asked.
func (r *Reporter) fetch(ctx context.Context) bool {
	if time.Since(r.fetchedAt) < fetchInterval {
		return false
	}
	r.fetchedAt = time.Now()
	from := r.opts.Schedule.Containing(r.opts.Clock.Now(time.Now()).Add(-r.opts.Schedule.Kept())) - 1
	if n := len(r.decided); n > 0 {
		from = max(from, r.decided[n-1].Window+1)
	}
	if _, err := r.opts.Exchange.FetchUsage(ctx, from); err != nil && time.Since(r.loggedFetchAt) >= logInterval {
		r.loggedFetchAt = time.Now()
		eventNotFetched.Log(ctx, r.opts.Logger, slog.String("error", err.Error()))
	}
	return true
}

// decide writes the counts of windows into the store, together with those that it has lost. If they are not certainly written, the key is read before anything
// else is decided, because the write may have been executed, or may be executed later instead of the next.
func (r *Reporter) decide(ctx context.Context, windows []int64) {
	decided, missing := slices.Clone(r.decided), make(map[int64]int)
	for _, window := range windows {
		missing[window] = len(r.missing(window))
		decided = append(decided, Decided{Window: window, Body: r.opts.Encode(window, r.opts.Collector.Usage(window))})
	}
	decided = decided[max(0, len(decided)-r.opts.Schedule.keptWindows()):]
	if term, held := r.opts.Authority.Term(time.Now()); !held || term.Fence != r.fence {
		return
	}
	value := encodeDecided(decided)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := r.opts.Store.Put(call, Key, value, r.revision, 0)
	if err != nil {
		r.mu.Lock()
		r.known = false
		r.mu.Unlock()
		r.logStoreFailure(ctx, errors.Wrap(err, "usage: write the key"))
		return
	}
	now := r.opts.Clock.Now(time.Now())
	for _, window := range windows {
		r.stats.decided.Inc(1)
		eventDecided.Log(ctx, r.opts.Logger, slog.Int64("window", window), slog.Int64("after_ms", now.Sub(r.opts.Schedule.End(window)).Milliseconds()),
			slog.Bool("complete", missing[window] == 0), slog.Int("missing", missing[window]),
			slog.Int64("fence", r.fence), slog.Int("value_bytes", len(value)))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed, r.revision, r.decided = true, revision, decided
}

// send makes one attempt to send a window, if the term still lasts. It returns whether another call may follow at once.
func (r *Reporter) send(ctx context.Context, d Decided) bool {
	term, held := r.opts.Authority.Term(time.Now())
	if !held || term.Fence != r.fence {
		return false
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.opts.Sender.ReportUsage(call, term, d.Window, bytes.Clone(d.Body))
	now := r.opts.Clock.Now(time.Now())
	attrs := []slog.Attr{
		slog.Int64("window", d.Window), slog.Int64("after_ms", now.Sub(r.opts.Schedule.End(d.Window)).Milliseconds()),
		slog.Int("attempts", r.sending[d.Window].attempts+1), slog.Int64("fence", term.Fence),
	}
	r.mu.Lock()
	if err == nil {
		r.sending[d.Window] = sending{done: true}
	} else {
		r.sending[d.Window] = r.sending[d.Window].afterFailure(now)
	}
	for window := range r.sending {
		if !slices.ContainsFunc(r.decided, func(d Decided) bool { return d.Window == window }) {
			delete(r.sending, window)
		}
	}
	r.mu.Unlock()
	if err != nil {
		r.stats.notSent.Inc(1)
		eventNotSent.Log(ctx, r.opts.Logger, append(attrs, slog.String("error", err.Error()))...)
		return false
	}
	r.stats.sent.Inc(1)
	eventSent.Log(ctx, r.opts.Logger, attrs...)
	return true
}

func (r *Reporter) logStoreFailure(ctx context.Context, err error) {
	r.stats.storeFailed.Inc(1)
	if time.Since(r.loggedStoreAt) >= logInterval {
		r.loggedStoreAt = time.Now()
		eventStoreFailed.Log(ctx, r.opts.Logger, slog.String("error", err.Error()))
	}
}
