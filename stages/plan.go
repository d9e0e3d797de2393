// Package stages changes the stages of model replicas, so that long prompts are processed by replicas that do only
// that. It is for deployments that start with too few prefill replicas: a decode replica processes prompts at half the
// speed, and each prompt slows the requests that are being decoded there.
//
// The default division of a zone depends on the numbers of replicas and slots only (Plan). Where batches are small and
// Options.ByDemand asks for it, the sustained demand of the fleet decides (division).
//
// The instance that holds a lease in the platform's store gives the orders; duty.LeaseHolder describes why two never do
// at the same time. This authority is independent of that of package authority, which orders the engines of the
// configuration document.
package stages

import (
	"cmp"
	"math"
	"slices"

	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

const (
	// targetSlotsPerPrefill is the number of decode batch slots that one prefill replica needs: it processes some 60
	// prompts of 4,000 tokens a second, and each of them takes a slot for some 100 ms. An assignment with less than
	// minSlotsPerPrefill is corrected. Between the two it is left unchanged, so that a replica that crashes and
	// restarts causes no orders.
	targetSlotsPerPrefill = 6
	minSlotsPerPrefill    = 4
	// spareSlotsFactor times as many slots are provided where that takes no more than maxSpareShare of the zone: half of
	// them are then free at a mean load, for bursts and for batches that fill unequally.
	spareSlotsFactor = 2
	// minDecodeShare is the least share of a zone's replicas in stage decode. The KV caches of all handed-off prompts go
	// through their links, one after another.
	minDecodeShare = 1.0 / 4
	maxSpareShare  = 1.0 / 3
	// maxChangingShare is the share of a service's replicas that may be unavailable for a change at the same time.
	maxChangingShare = 0.25
)

// Change is a replica and the stage that it should get.
type Change struct {
	Replica *upstream.Replica
	Stage   upstream.Stage
}

// Plan returns the changes to a good stage assignment for the replicas of a service, in order of their IDs. In each
// zone as many replicas as possible are in stage prefill, as long as the decode replicas have batch slots for the
// prompts that are handed off to them and are at least a quarter of the zone. It returns none for a service without
// prefill replicas or without decode replicas.
func Plan(service *traffic.Service, replicas []*upstream.Replica) []Change {
	if service.Engine == nil {
		return nil
	}
	return planWithin(replicas, func(z *zone) bounds { return defaultBounds(z.size(), service.Engine.Slots) }, nil)
}

// planWithin returns the changes that bring the number of decode replicas of each zone within its bounds.
func planWithin(replicas []*upstream.Replica, boundsOf func(*zone) bounds, order func(a, b *upstream.Replica) int) []Change {
	zones, divided := zonesOf(replicas)
	if !divided {
		return nil
	}
	var changes []Change
	for _, z := range zones {
		if z.size() >= 2 {
			changes = append(changes, z.plan(boundsOf(z), order)...)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Replica.ID, b.Replica.ID) })
	return changes
}

// MaxConcurrentChanges returns the number of a service's replicas that may change their stage at the same time, at
// least 1.
func MaxConcurrentChanges(replicas int) int { return max(1, int(float64(replicas)*maxChangingShare)) }

// decodeCount returns how many of a zone's replicas must be in stage decode to provide slotsPerPrefill batch slots for
// each prefill replica, and spare ones as far as maxSpareShare allows. At least one replica is left for prefill.
func decodeCount(replicas, slots, slotsPerPrefill int) int {
	spare := max(share(replicas, minDecodeShare), slotDivision(replicas, slots, spareSlotsFactor*slotsPerPrefill))
	spare = min(spare, share(replicas, maxSpareShare))
	return min(replicas-1, max(1, spare, slotDivision(replicas, slots, slotsPerPrefill)))
}

// slotDivision returns the least number of decode replicas whose slots are slotsPerPrefill for each of the others.
func slotDivision(replicas, slots, slotsPerPrefill int) int {
	return int(math.Ceil(float64(replicas*slotsPerPrefill) / float64(slots+slotsPerPrefill)))
}

// share returns a share of the replicas, rounded up.
func share(replicas int, share float64) int { return int(math.Ceil(float64(replicas) * share)) }
