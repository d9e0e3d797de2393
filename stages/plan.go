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
	// handoverSlots is how many places of decode replicas one prefill replica keeps busy: it processes about 100 prompts a
	// second, and each of them takes a place for some 70 ms.
	handoverSlots = 8
	// decodeShare is the part of a zone's replicas that are left for answers. A decode replica processes prompts at half the
	// pace of a prefill replica, so every one beyond what the answers need costs half a replica.
	decodeShare = 1.0 / 3
	// changingShare is the part of a service's replicas that may be away for a change at the same time.
	changingShare = 0.25
)

// Change is one replica and the stage that it should have.
type Change struct {
	Replica *upstream.Replica
	Stage   upstream.Stage
}

// Plan returns the changes that bring the replicas of a service to a good division, in order of their IDs: in each zone
// a third of the replicas, and at least one, is left or made to answer, and the other decode replicas become prefill
// replicas. It returns none
// for a service without prefill replicas, and none that would leave too few places for answers.
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
		changes = append(changes, z.plan()...)
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Replica.ID, b.Replica.ID) })
	for _, c := range changes {
		if c.Stage == upstream.Prefill {
			prefill, decode = prefill+1, decode-1
		} else {
			prefill, decode = prefill-1, decode+1
		}
	}
	if decode*service.Engine.Slots < handoverSlots*prefill {
		return nil
	}
	return changes
}

// AtOnce returns how many of a service's replicas may change at the same time.
func AtOnce(replicas int) int { return max(1, int(float64(replicas)*changingShare)) }

// zone holds the replicas of one availability zone, in order of their IDs.
type zone struct{ prefill, decode []*upstream.Replica }

// plan compares the zone with a division that depends only on the number of its replicas, so that a plan that is carried
// out leaves nothing to do.
func (z *zone) plan() []Change {
	replicas := len(z.prefill) + len(z.decode)
	if replicas < 2 {
		return nil
	}
	if len(z.decode) == 0 {
		return []Change{{z.prefill[len(z.prefill)-1], upstream.Decode}}
	}
	var changes []Change
	for i := int(math.Ceil(float64(replicas) * decodeShare)); i < len(z.decode); i++ {
		changes = append(changes, Change{z.decode[i], upstream.Prefill})
	}
	return changes
}
