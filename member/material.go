package member

import (
	"math"
	"time"

	"rhubarbpoint/peer/peerpb"
)

// unchangedRefresh is how long a load record stands while its upstream's load does not change materially.
const unchangedRefresh = 4 * time.Second

// material reports whether a choice between upstreams could differ between two records. Smaller changes are noise that
// is not worth a record to every instance of the zone; routing extrapolates with the rate of arrivals meanwhile.
func material(old, load *peerpb.UpstreamLoad) bool {
	return baseOf(old) != baseOf(load) ||
		differ(old.GetRunning(), load.GetRunning(), 4, 0.1) ||
		differ(old.GetWaiting(), load.GetWaiting(), 2, 0.25) ||
		differ(old.GetWaitingTokens(), load.GetWaitingTokens(), 4000, 0.25) ||
		differ(old.GetArrivalsMilli(), load.GetArrivalsMilli(), 1000, 0.25) ||
		differ(old.GetPrefillTokensPerSecond(), load.GetPrefillTokensPerSecond(), 500, 0.2) ||
		differ(old.GetStepMicros(), load.GetStepMicros(), 3000, 0.15) ||
		differ(old.GetKvUsedPermille(), load.GetKvUsedPermille(), 30, 0.05)
}

// differ reports whether two values are apart by at least both the least step and the share of the larger one.
func differ(a, b uint32, least, share float64) bool {
	apart := math.Abs(float64(a) - float64(b))
	return apart >= least && apart >= share*math.Max(float64(a), float64(b))
}
