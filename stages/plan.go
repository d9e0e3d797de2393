// Package stages changes the stages of model replicas, so that replicas that process long prompts do only that. It answers
// deployments that start with too few replicas in stage prefill: a decode replica processes prompts at half the pace, and
// each of them slows the answers that run there.
//
// The instance that holds a lease in the platform's store gives the orders; see Holder for why two never do.
package stages

import (
	"cmp"
	"math"
	"slices"

	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

const (
	// handoverSlots is how many places of decode replicas one prefill replica needs: it processes some 60 prompts of 4,000
	// tokens a second, and each of them takes a place for some 100 ms. A division with fewer than scarceSlots is mended; between the two it
	// is left alone, so that a replica that crashes and returns causes no orders.
	handoverSlots = 6
	scarceSlots   = 4
	// decodeShare is the least part of a zone's replicas that is left for answers.
	decodeShare = 1.0 / 3
	// changingShare is the part of a service's replicas that may be away for a change at the same time.
	changingShare = 0.25
)

// Change is one replica and the stage that it should have.
type Change struct {
	Replica *upstream.Replica
	Stage   upstream.Stage
}

// Plan returns the changes that bring the replicas of a service to a good division, in order of their IDs. In each zone as
// many replicas as possible are in stage prefill, as long as the others have places for the prompts that are handed over
// to them and are at least a third of the zone. It returns none for a service without prefill or without decode replicas.
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

// MaxConcurrentChanges returns how many of a service's replicas may change at the same time.
func MaxConcurrentChanges(replicas int) int { return max(1, int(float64(replicas)*changingShare)) }

// zone holds the replicas of one availability zone, in order of their IDs.
type zone struct{ prefill, decode []*upstream.Replica }

// plan compares the zone with a division that depends only on the number of its replicas and their places, so that a plan
// that is carried out leaves nothing to do.
func (z *zone) plan(slots int) []Change {
	replicas := len(z.prefill) + len(z.decode)
	if replicas < 2 {
		return nil
	}
	var changes []Change
	least := decodeCount(replicas, slots, scarceSlots)
	for i := len(z.prefill) - 1; i >= 0 && len(z.decode)+len(changes) < least; i-- {
		changes = append(changes, Change{z.prefill[i], upstream.Decode})
	}
	for i := decodeCount(replicas, slots, handoverSlots); i < len(z.decode); i++ {
		changes = append(changes, Change{z.decode[i], upstream.Prefill})
	}
	return changes
}

// decodeCount returns how many of a zone's replicas must be in stage decode, so that there are the given number of places
// for each of the others. One replica is left for prompts in any case.
func decodeCount(replicas, slots, places int) int {
	least := int(math.Ceil(float64(replicas) * decodeShare))
	return min(replicas-1, max(1, least, int(math.Ceil(float64(replicas*places)/float64(slots+places)))))
}
