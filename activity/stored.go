package activity

import "time"

// stored is what a collector knows of one process.
type stored struct {
	// usage and demand are the figures as of usageSequence and demandSequence.
	usage                         map[int64]map[string]uint64
	usageSequence, demandSequence uint64
	// usageTrue is true time at the sender when it sent the usage.
	usageTrue int64
	demand    map[string]ServiceDemand
	history   history
	// pushed is the last report that the process itself sent here, nil if there is none. Later ones may refer to it.
	pushed *Report
	// revision is the collector's revision at the last push.
	revision uint64
	at       time.Time
}

// mergeUsage takes the usage of a report if it is newer. A report may lack windows that are older than what was asked
// for.
func (s *stored) mergeUsage(r *Report) {
	if r.Sequence <= s.usageSequence {
		return
	}
	s.usageSequence, s.usageTrue = r.Sequence, r.TrueMillis
	if s.usage == nil {
		s.usage = make(map[int64]map[string]uint64)
	}
	for window, counts := range r.Usage {
		s.usage[window] = counts
	}
}

// mergeDemand takes the demand of a report if it is newer.
func (s *stored) mergeDemand(r *Report, at time.Time) {
	if r.Sequence <= s.demandSequence {
		return
	}
	s.demandSequence, s.demand = r.Sequence, r.Demand
	if r.Zone != "" {
		s.history.zone = r.Zone
	}
	if len(r.Demand) > 0 {
		s.history.add(sample{at: at, demand: r.Demand})
	}
}
