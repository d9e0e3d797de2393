package traffic

import "time"

// Route is one kind of request and where it may go.
type Route struct {
	Name string
	// Host and Prefix select the requests. A prefix begins and ends with a slash.
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may continue on another replica after their last event.
	Resumable bool
	// Timeout bounds a request from its arrival to the end of its answer; zero means that only the caller's deadline
	// does.
	Timeout time.Duration
	// TargetLatency is the time in which an answer, or the first event of a stream, is of full use to the caller.
	TargetLatency time.Duration
	// Priority orders the routes, 0 first.
	Priority int
	// MaxAttempts bounds the replicas on which one request may start; zero means no bound.
	MaxAttempts int
	// Split divides the requests between services by weight.
	Split []Share
}

// Repeatable says whether a request may be sent again although an earlier attempt may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService chooses a service by weight. point is in [0,1).
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
