package place

import (
	"math"
	"time"

	"rhubarbpoint/internal/partcache"
	"rhubarbpoint/relay"
)

// reportDecay is the time in which the part of a report that concerns other instances loses most of its weight. Requests
// last some tens of milliseconds and reports come with every answer, so an old report says little.
const reportDecay = 400 * time.Millisecond

// load is what this instance knows of one start of a replica.
type load struct {
	// inFlight counts the requests of this instance.
	inFlight int
	// queue holds the prompts that wait.
	queue queue
	// others are the requests of other instances, as last reported.
	others     float64
	slots      int
	reportedAt time.Time
	// cache estimates what the replica has cached. Requests of other instances are not seen, so the estimate is wrong at
	// times; it is only used to compare replicas.
	cache    *partcache.Cache
	handoffs failures
	refusals failures
}

// report takes a replica's statement of its load.
func (l *load) report(now time.Time, r *relay.Load) {
	l.others = math.Max(0, float64(r.Running+r.Waiting-l.inFlight))
	if r.Slots > 0 {
		l.slots = r.Slots
	}
	l.reportedAt = now
}

// fade is the weight of the last report.
func (l *load) fade(now time.Time) float64 {
	if l.reportedAt.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(l.reportedAt).Seconds() / reportDecay.Seconds())
}

// requests estimates the requests at the replica.
func (l *load) requests(now time.Time) float64 {
	return float64(l.inFlight) + l.others*l.fade(now)
}

// age returns the age of the last report, negative if there is none.
func (l *load) age(now time.Time) time.Duration {
	if l.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(l.reportedAt)
}
