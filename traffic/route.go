package traffic

import "time"

// Route selects requests by host and path, and states how they are treated and which services they may go to.
type Route struct {
	Name string
	// Host and Prefix select the requests; an empty host selects those of all hosts. A path prefix begins and ends with
	// a slash.
	Host   string
	Prefix string
	Kind   Kind
	// Resumable is set if another replica can resume a stream after the last delivered event.
	Resumable bool
	// Timeout bounds a request from its arrival to the end of its response; zero means that only the caller's deadline
	// does.
	Timeout time.Duration
	// TargetLatency is the target for the time to a response, or to the first event of a stream.
	TargetLatency time.Duration
	// Priority is the priority of the requests; 0 is the highest. That of a workspace takes precedence.
	Priority int
	// Public is set if requests need no key even if the configuration has workspaces.
	Public bool
	// MaxAttempts bounds the attempts of one request that may have been executed; zero means no bound.
	MaxAttempts int
	// Split divides the requests between services by weight.
	Split []Share
}

// Repeatable reports whether a request may be sent again although an earlier attempt may have been executed.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns the service at a point in [0,1) of the split, in which each service covers its share of the
// weights. It returns "" for a route without services.
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	for _, s := range r.Split {
		if point -= s.Weight / total; point < 0 {
			return s.Service
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}
