package activity

import (
	"maps"
	"time"
)

// Report is what one instance has served. All figures are absolute, so that a lost or repeated report does no harm.
type Report struct {
	// Instance is the member ID of the process, so that the totals of a restarted instance start anew.
	Instance string
	// Sequence increases with each report of the process.
	Sequence uint64
	// Zone is the availability zone of the instance.
	Zone string
	// WallMillis is the sender's wall clock when it sent the report, in milliseconds since 1970, for package truetime. In a
	// call it is that at the expected arrival.
	WallMillis int64
	// TrueMillis is true time as the sender knew it then. The counts of a window are final in a report that was sent
	// FinalAfter after the end of the window.
	TrueMillis int64
	// Usage is the number of requests that replicas began to run, by window and workspace, for the latest windows.
	Usage map[int64]map[string]uint64
	// Demand is the demand by service since the instance started.
	Demand map[string]ServiceDemand
}

// FinalAfter is how long after its end a window can still get counts: a replica begins to run a request some time
// before the instance knows it.
const FinalAfter = 1500 * time.Millisecond

// since returns the report without what base has already. Both are reports of the same process.
func (r *Report) since(base *Report) *Report {
	changed := *r
	changed.Zone = ""
	changed.Usage, changed.Demand = make(map[int64]map[string]uint64), make(map[string]ServiceDemand)
	for window, counts := range r.Usage {
		for workspace, n := range counts {
			if base.Usage[window][workspace] != n {
				addUsage(changed.Usage, window, workspace, n)
			}
		}
	}
	for service, demand := range r.Demand {
		if base.Demand[service] != demand {
			changed.Demand[service] = demand
		}
	}
	return &changed
}

// with returns the report with what a later one has in addition. The report itself is not changed.
func (r *Report) with(changed *Report) *Report {
	merged := *changed
	merged.Zone = r.Zone
	merged.Usage, merged.Demand = cloneUsage(r.Usage), maps.Clone(r.Demand)
	for window, counts := range changed.Usage {
		for workspace, n := range counts {
			merged.Usage[window] = ensure(merged.Usage[window])
			merged.Usage[window][workspace] = n
		}
	}
	if merged.Demand == nil {
		merged.Demand = make(map[string]ServiceDemand)
	}
	maps.Copy(merged.Demand, changed.Demand)
	return &merged
}

func addUsage(usage map[int64]map[string]uint64, window int64, workspace string, n uint64) {
	usage[window] = ensure(usage[window])
	usage[window][workspace] += n
}

func ensure(counts map[string]uint64) map[string]uint64 {
	if counts == nil {
		return make(map[string]uint64)
	}
	return counts
}

func cloneUsage(usage map[int64]map[string]uint64) map[int64]map[string]uint64 {
	clone := make(map[int64]map[string]uint64, len(usage))
	for window, counts := range usage {
		clone[window] = maps.Clone(counts)
	}
	return clone
}
