package activity

import (
	"maps"
	"slices"
	"sync"
	"time"

	"rhubarbpoint/truetime"
)

const (
	// maxStored bounds the processes of which a collector keeps reports; it is above the number of instances of the
	// largest deployment and of those that restart within storedLifetime.
	maxStored = 2048
	// storedLifetime is how long the reports of a process that no longer sends any are kept. A window is reported well
	// before.
	storedLifetime = time.Minute
	// pruneInterval is the least time between two removals of old reports.
	pruneInterval = time.Second
)

// CollectorOptions configure a Collector.
type CollectorOptions struct {
	// Self is the member ID of this process.
	Self  string
	Clock *truetime.Clock
	// UsageWindow is the length of a window, 0 if usage is not counted. Windows are kept for UsageKept after their end.
	UsageWindow, UsageKept time.Duration
}

// Collector keeps the latest reports of the instances: those that it was sent as one of the two collectors, and those
// that this instance fetched from the collectors. It is safe for concurrent use. While its lock is held, it takes no
// other lock but that of the clock.
type Collector struct {
	opts CollectorOptions

	mu        sync.Mutex
	revision  uint64
	processes map[string]*stored
	prunedAt  time.Time
	estimator *truetime.Estimator
}

// NewCollector returns a Collector without reports.
func NewCollector(opts CollectorOptions) *Collector {
	return &Collector{opts: opts, processes: make(map[string]*stored), estimator: truetime.NewEstimator()}
}

// pushResult is what a collector answers to a push.
type pushResult struct {
	// whole is set if the collector cannot use the report, because it lacks the one that it refers to.
	whole    bool
	trueTime time.Time
	clocks   int
}

// push takes a report that its sender has just sent. base is the sequence of the report that it refers to, 0 if it is
// whole. A sender that got no response repeats what has changed since an earlier base, so a newer base here is right too.
func (c *Collector) push(now time.Time, r *Report, base uint64) pushResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune(now)
	boot := c.opts.Clock.Boot()
	c.estimator.Observe(r.Instance, time.UnixMilli(r.WallMillis), boot)
	c.estimator.Observe(c.opts.Self, c.opts.Clock.Wall(), boot)
	var result pushResult
	result.trueTime, result.clocks = c.estimator.Estimate(boot)
	s := c.process(r.Instance)
	switch {
	case s == nil || base > 0 && (s.pushed == nil || s.pushed.Sequence < base):
		result.whole = true
		return result
	case s.pushed != nil && r.Sequence <= s.pushed.Sequence:
		return result // repeated, or overtaken by a later one
	case base > 0:
		r = s.pushed.with(r)
	}
	kept := *r // the sender still reads its report
	kept.Usage = maps.Clone(r.Usage)
	c.dropWindows(now, kept.Usage)
	c.revision++
	s.pushed, s.revision, s.at = &kept, c.revision, now
	s.mergeUsage(&kept)
	s.mergeDemand(&kept, now)
	return result
}

// process returns what is stored of a process, or nil if too many are. The lock is held.
func (c *Collector) process(instance string) *stored {
	s := c.processes[instance]
	if s == nil && len(c.processes) < maxStored {
		s = &stored{}
		c.processes[instance] = s
	}
	return s
}

// prune forgets processes that send no reports, and old windows. The lock is held.
func (c *Collector) prune(now time.Time) {
	if now.Sub(c.prunedAt) < pruneInterval {
		return
	}
	c.prunedAt = now
	for instance, s := range c.processes {
		if now.Sub(s.at) >= storedLifetime {
			delete(c.processes, instance)
			continue
		}
		c.dropWindows(now, s.usage)
	}
}

func (c *Collector) dropWindows(now time.Time, usage map[int64]map[string]uint64) {
	if c.opts.UsageWindow > 0 {
		dropWindows(usage, windowOf(c.opts.Clock.Now(now), c.opts.UsageWindow), keptWindows(c.opts.UsageKept, c.opts.UsageWindow))
	}
}

// query selects reports of a collector.
type query struct {
	// after is the revision of the collector from which the caller continues.
	after uint64
	// demand asks for the demand, otherwise for the usage from window fromWindow on.
	demand     bool
	fromWindow int64
}

// reports returns the reports that were pushed after a revision, and the revision to continue from.
func (c *Collector) reports(q query) ([]received, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []received
	for _, instance := range slices.Sorted(maps.Keys(c.processes)) {
		s := c.processes[instance]
		if s.pushed == nil || s.revision <= q.after {
			continue
		}
		r := &Report{Instance: instance, Zone: s.pushed.Zone, Sequence: s.pushed.Sequence, TrueMillis: s.pushed.TrueMillis}
		if q.demand {
			r.Demand = s.pushed.Demand
		} else {
			r.Zone = ""
			r.Usage = maps.Clone(s.pushed.Usage)
			maps.DeleteFunc(r.Usage, func(window int64, _ map[string]uint64) bool { return window < q.fromWindow })
		}
		found = append(found, received{report: r, at: s.at})
	}
	return found, c.revision
}

// merge takes reports that another collector has.
func (c *Collector) merge(now time.Time, q query, reports []received) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune(now)
	for _, r := range reports {
		s := c.process(r.report.Instance)
		if s == nil {
			continue
		}
		if r.at.After(s.at) {
			s.at = r.at
		}
		if q.demand {
			s.mergeDemand(r.report, r.at)
		} else {
			c.dropWindows(now, r.report.Usage)
			s.mergeUsage(r.report)
		}
	}
}

// Usage returns the requests that replicas began to run in a window, by workspace.
func (c *Collector) Usage(window int64) map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]uint64)
	for _, s := range c.processes {
		for workspace, n := range s.usage[window] {
			counts[workspace] += n
		}
	}
	return counts
}

// LastSent returns true time at each process when it sent the latest usage that is known here, in milliseconds since
// 1970.
func (c *Collector) LastSent() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := make(map[string]int64, len(c.processes))
	for instance, s := range c.processes {
		if s.usageSequence > 0 {
			sent[instance] = s.usageTrue
		}
	}
	return sent
}

// FirstWindow returns the first window in which any process has counted a request, and whether there is one.
func (c *Collector) FirstWindow() (first int64, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.processes {
		for window := range s.usage {
			if !found || window < first {
				first, found = window, true
			}
		}
	}
	return first, found
}

// Fleet returns the rates of the demand over a time until now, of 1 to 10 s. The reports must have been fetched.
func (c *Collector) Fleet(now time.Time, over time.Duration) Fleet {
	c.mu.Lock()
	defer c.mu.Unlock()
	histories := make([]*history, 0, len(c.processes))
	for _, instance := range slices.Sorted(maps.Keys(c.processes)) {
		histories = append(histories, &c.processes[instance].history)
	}
	return fleetOf(now, over, histories)
}

// state returns the processes whose reports the collector has.
func (c *Collector) state(now time.Time) []ProcessState {
	c.mu.Lock()
	defer c.mu.Unlock()
	var states []ProcessState
	for _, instance := range slices.Sorted(maps.Keys(c.processes)) {
		s := c.processes[instance]
		states = append(states, ProcessState{
			Instance: instance, Sequence: max(s.usageSequence, s.demandSequence), AgeMillis: now.Sub(s.at).Milliseconds(), Windows: len(s.usage),
		})
	}
	return states
}
