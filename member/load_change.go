package member

import (
	"math"
	"time"

	"rhubarbpoint/peer/peerpb"
)

// unchangedLoadRefresh is the age at which a load record is published again although the upstream's load has not
// changed significantly.
const unchangedLoadRefresh = 4 * time.Second

// significantChange reports whether two load records differ so much that routing could choose another upstream. Smaller
// changes are noise and not worth sending a record to every instance of the zone; until the next record, routing
// extrapolates the load with the arrival rate.
func significantChange(old, current *peerpb.UpstreamLoad) bool {
	return baseHash(old) != baseHash(current) ||
		differ(old.GetRunning(), current.GetRunning(), 4, 0.1) ||
		differ(old.GetWaiting(), current.GetWaiting(), 2, 0.25) ||
		differ(old.GetWaitingTokens(), current.GetWaitingTokens(), 4000, 0.25) ||
		differ(old.GetArrivalsMilli(), current.GetArrivalsMilli(), 1000, 0.25) ||
		differ(old.GetPrefillTokensPerSecond(), current.GetPrefillTokensPerSecond(), 500, 0.2) ||
		differ(old.GetStepMicros(), current.GetStepMicros(), 3000, 0.15) ||
		differ(old.GetKvUsedPermille(), current.GetKvUsedPermille(), 30, 0.05)
}

// differ reports whether two values differ by at least the absolute minimum and by at least the given share of the
// larger one.
func differ(a, b uint32, minDifference, minShare float64) bool {
	difference := math.Abs(float64(a) - float64(b))
	return difference >= minDifference && difference >= minShare*math.Max(float64(a), float64(b))
}
