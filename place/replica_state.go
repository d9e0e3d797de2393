package place

import (
	"math"
	"time"

	"rhubarbpoint/internal/segmentcache"
	"rhubarbpoint/relay"
)

// reportDecay is the time constant of the weight of what a load report says about other instances' requests. Requests
// last some tens of milliseconds and every response carries a report, so an old report says little.
const reportDecay = 400 * time.Millisecond

// replicaState is what this instance knows of one incarnation of a replica.
type replicaState struct {
	// inFlight is the number of requests that this instance has in flight there.
	inFlight int
	// queue estimates the queued prompt tokens.
	queue prefillQueue
	// otherRequests is the number of other instances' requests by the last load report.
	otherRequests float64
	slots         int
	// waiting is the number of queued requests by the last load report.
	waiting int
	// bodyBytes is the size of the request bodies that this instance has in flight there.
	bodyBytes  int64
	reportedAt time.Time
	// cache estimates the replica's prefix cache. This instance does not see the requests of other instances, so the
	// estimate is sometimes wrong; it is only used to compare replicas.
	cache           *segmentcache.Cache
	handoffFailures failureRate
	refusals        failureRate
	// speed is nil for a replica of a service that is not uneven.
	speed *replicaSpeed
	// limit is nil for a replica that names none.
	limit *replicaLimit
	// pausedUntil is the end of the pause that the replica asked for.
	pausedUntil time.Time
}

// update applies a load report.
func (s *replicaState) update(now time.Time, r *relay.Load) {
	s.otherRequests = math.Max(0, float64(r.Running+r.Waiting-s.inFlight))
	if r.Slots > 0 {
		s.slots = r.Slots
	}
	s.waiting, s.reportedAt = r.Waiting, now
}

// waitToSend returns how long the replica's limit or pause allows no request.
func (s *replicaState) waitToSend(now time.Time) time.Duration {
	wait := max(0, s.pausedUntil.Sub(now))
	if s.limit != nil {
		wait = max(wait, s.limit.wait(now))
	}
	return wait
}

// reportWeight returns the weight of the last load report, 0 to 1.
func (s *replicaState) reportWeight(now time.Time) float64 {
	if s.reportedAt.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(s.reportedAt).Seconds() / reportDecay.Seconds())
}

// requests returns the estimated number of requests at the replica, queued ones included.
func (s *replicaState) requests(now time.Time) float64 {
	return float64(s.inFlight) + s.otherRequests*s.reportWeight(now)
}

// reportAge returns the age of the last load report, negative if there is none.
func (s *replicaState) reportAge(now time.Time) time.Duration {
	if s.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(s.reportedAt)
}
