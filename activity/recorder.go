package activity

import (
	"sync"
	"time"

	"rhubarbpoint/truetime"
)

// maxUnplacedShare is the uncached share of the prompts of refused requests before the first placement.
const maxUnplacedShare = 1

// RecorderOptions configure a Recorder.
type RecorderOptions struct {
	// Instance and Zone identify this process in its reports.
	Instance, Zone string
	Clock          *truetime.Clock
	// UsageWindow is the length of a window, 0 if usage is not counted. Windows are kept for UsageKept after their end.
	UsageWindow, UsageKept time.Duration
	// PrefillTokensPerMs returns the estimated prompt speed of a prefill replica of a service, 0 if unknown. It may be nil.
	PrefillTokensPerMs func(service string) float64
}

// Recorder counts what this instance serves. It is safe for concurrent use; a nil Recorder counts nothing. While its lock is
// held, it takes no other lock except through PrefillTokensPerMs.
type Recorder struct {
	opts RecorderOptions

	mu       sync.Mutex
	sequence uint64
	// changes counts the changes, so that an unchanged report need not be sent.
	changes      uint64
	usage        map[int64]map[string]uint64
	demand       map[string]ServiceDemand
	serviceTimes serviceTimes
	// placed are the totals of the prompts that were placed, by service.
	placed map[string]placedPrompts
}

// placedPrompts are totals of prompts that were placed.
type placedPrompts struct{ tokens, uncached uint64 }

// NewRecorder returns a Recorder without counts.
func NewRecorder(opts RecorderOptions) *Recorder {
	return &Recorder{
		opts: opts, usage: make(map[int64]map[string]uint64), demand: make(map[string]ServiceDemand), serviceTimes: make(serviceTimes),
		placed: make(map[string]placedPrompts),
	}
}

// RecordBegun counts a request that a replica began to run at a time of the local clock. A request without a workspace
// is not counted. A request that began more than FinalAfter ago counts as begun then, because the window in which it
// began may have been reported already.
func (r *Recorder) RecordBegun(workspace string, at time.Time) {
	if r == nil || workspace == "" || r.opts.UsageWindow <= 0 {
		return
	}
	now := time.Now()
	began := r.opts.Clock.Now(now).Add(-min(now.Sub(at), FinalAfter))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes++
	addUsage(r.usage, windowOf(began, r.opts.UsageWindow), workspace, 1)
}

// RecordResponse counts a request of a plain service whose response has just begun, sent at the given time. waiting is
// the number of requests that waited at the replica. The request is taken to have begun one mean service time before its
// response, but not before it was sent.
func (r *Recorder) RecordResponse(service, workspace string, sent time.Time, waiting int) {
	if r == nil || r.opts.UsageWindow <= 0 {
		return
	}
	now := time.Now()
	r.mu.Lock()
	r.serviceTimes.observe(service, now.Sub(sent), waiting == 0)
	began := now.Add(-r.serviceTimes[service])
	r.mu.Unlock()
	if began.Before(sent) {
		began = sent
	}
	r.RecordBegun(workspace, began)
}

// RecordDemand adds to the totals of a service. The gauge of more is ignored.
func (r *Recorder) RecordDemand(service string, more ServiceDemand) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes++
	r.demand[service] = r.demand[service].plus(more)
}

// RecordPlaced adds the uncached tokens of a prompt that was placed for the first time.
func (r *Recorder) RecordPlaced(service string, tokens, uncached int) {
	if r == nil || tokens <= 0 {
		return
	}
	r.RecordDemand(service, ServiceDemand{UncachedTokens: uint64(max(uncached, 0))})
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.placed[service]
	r.placed[service] = placedPrompts{p.tokens + uint64(tokens), p.uncached + uint64(max(uncached, 0))}
}

// RecordUnplaced adds the uncached tokens of a prompt that was never placed, by the share of those that were.
func (r *Recorder) RecordUnplaced(service string, tokens int) {
	if r == nil || tokens <= 0 {
		return
	}
	r.mu.Lock()
	share := float64(maxUnplacedShare)
	if p := r.placed[service]; p.tokens > 0 {
		share = float64(p.uncached) / float64(p.tokens)
	}
	r.mu.Unlock()
	r.RecordDemand(service, ServiceDemand{UncachedTokens: uint64(share * float64(tokens))})
}

// changeCount returns the number of changes so far.
func (r *Recorder) changeCount() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changes
}

// Report returns the next report at a time of the local clock, without demand unless it is wanted, and the number of changes
// that it contains.
func (r *Recorder) Report(now time.Time, withDemand bool) (*Report, uint64) {
	trueTime := r.opts.Clock.Now(now)
	report := &Report{
		Instance: r.opts.Instance, Zone: r.opts.Zone, WallMillis: r.opts.Clock.Wall().UnixMilli(), TrueMillis: trueTime.UnixMilli(),
		Demand: make(map[string]ServiceDemand),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.opts.UsageWindow > 0 {
		dropWindows(r.usage, windowOf(trueTime, r.opts.UsageWindow), keptWindows(r.opts.UsageKept, r.opts.UsageWindow))
	}
	r.sequence++
	report.Sequence, report.Usage = r.sequence, cloneUsage(r.usage)
	if !withDemand {
		return report, r.changes
	}
	for service, demand := range r.demand {
		if r.opts.PrefillTokensPerMs != nil {
			demand.PrefillTokensPerMs = roundSpeed(r.opts.PrefillTokensPerMs(service))
		}
		report.Demand[service] = demand
	}
	return report, r.changes
}
