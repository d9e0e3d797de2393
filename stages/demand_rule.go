package stages

import (
	"math"

	"rhubarbpoint/traffic"
)

const (
	// targetUtilisation is the largest mean utilisation of the batch slots of decode replicas. With 6 slots and 8
	// replicas a zone, 3 of 8 at 0.66 were measured better than 4 by 0.03 to 0.07, and 3 of 8 at 0.87 worse than 4 by 0.07.
	targetUtilisation = 0.7
	// growUtilisation is the utilisation above which decode replicas are added. With targetUtilisation instead, 4 of 8 at
	// a mean of 0.65 became 5 of 8 in up to half of the trials with the loads of TestUnsteadyDemand.
	growUtilisation = 0.8
	// shrinkUtilisation replaces targetUtilisation for the way back after replicas were added.
	shrinkUtilisation = 0.6
	// roundingError is far above that of a product of two floating-point numbers, and far below one replica.
	roundingError = 1e-9
)

// BoundBySlots reports whether the division by the number of replicas provides for slots, because those for
// targetSlotsPerPrefill take more than maxSpareShare of a zone. This is so below 12 slots. With more of them, KV memory
// and links bind rather than slots, and the demand for slots does not tell how many replicas must decode.
func BoundBySlots(slots int) bool {
	return slots > 0 && float64(targetSlotsPerPrefill)/float64(slots+targetSlotsPerPrefill) > maxSpareShare
}

// NeedsDemand reports whether the stages of some service of the table follow the demand, which must then be known.
func NeedsDemand(table *traffic.Table, byDemand func(service string) bool) bool {
	if table == nil {
		return false
	}
	for _, service := range table.Services {
		if followsDemand(&service, byDemand) {
			return true
		}
	}
	return false
}

// followsDemand reports whether the demand decides on the division of a service.
func followsDemand(service *traffic.Service, byDemand func(service string) bool) bool {
	return byDemand != nil && service.Engine != nil && BoundBySlots(service.Engine.Slots) && byDemand(service.Name)
}

// shareFor returns the share of the replicas whose slots are used to a utilisation by a demand for slots, given per
// replica.
func shareFor(slotsPerReplica float64, slots int, utilisation float64) float64 {
	return slotsPerReplica / (float64(slots) * utilisation)
}

// demandCount returns the least number of decode replicas of a zone that are a share of its replicas, at least
// minDecodeShare. At least one replica is left for prefill.
func demandCount(replicas int, decodeShare float64) int {
	n := int(math.Ceil(float64(replicas)*min(decodeShare, 1) - roundingError))
	return min(replicas-1, max(1, share(replicas, minDecodeShare), n))
}
