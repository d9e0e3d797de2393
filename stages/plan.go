// Package stages changes the stages of model replicas, so that long prompts are processed by replicas that do only
// that. It is for deployments that start with too few prefill replicas: a decode replica processes prompts at half the
// speed, and each prompt slows the requests that are being decoded there.
//
// The instance that holds a lease in the platform's store gives the orders; LeaseHolder describes why two never do at
// the same time. This authority is independent of that of package authority, which orders the engines of the
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
	zones := make(map[string]*zone)
	prefill, decode := 0, 0
	for _, r := range replicas {
		z := zones[r.Zone]
		if z == nil {
			z = &zone{}
			zones[r.Zone] = z
		}
		switch r.Stage {
		case upstream.Prefill:
			z.prefill = append(z.prefill, r)
			prefill++
		case upstream.Decode:
			z.decode = append(z.decode, r)
			decode++
		}
	}
	if prefill == 0 || decode == 0 {
		return nil
	}
	var changes []Change
	for _, z := range zones {
		changes = append(changes, z.plan(service.Engine.Slots)...)
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Replica.ID, b.Replica.ID) })
	return changes
}

// MaxConcurrentChanges returns the number of a service's replicas that may change their stage at the same time, at
// least 1.
func MaxConcurrentChanges(replicas int) int { return max(1, int(float64(replicas)*maxChangingShare)) }

// zone holds the replicas of one availability zone, in order of their IDs.
type zone struct{ prefill, decode []*upstream.Replica }

// plan returns the changes to an assignment that depends only on the number of replicas and of their slots, so that an
// executed plan leaves no changes.
func (z *zone) plan(slots int) []Change {
	replicas := len(z.prefill) + len(z.decode)
	if replicas < 2 {
		return nil
	}
	var changes []Change
	least := decodeCount(replicas, slots, minSlotsPerPrefill)
	for i := len(z.prefill) - 1; i >= 0 && len(z.decode)+len(changes) < least; i-- {
		changes = append(changes, Change{z.prefill[i], upstream.Decode})
	}
	for i := decodeCount(replicas, slots, targetSlotsPerPrefill); i < len(z.decode); i++ {
		changes = append(changes, Change{z.decode[i], upstream.Prefill})
	}
	return changes
}

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

func share(replicas int, share float64) int { return int(math.Ceil(float64(replicas) * share)) }
