package stages

import (
	"cmp"
	"slices"

	"rhubarbpoint/upstream"
)

// zone holds the replicas of a service in one availability zone, in the order in which they were given.
type zone struct {
	name            string
	prefill, decode []*upstream.Replica
}

// zonesOf returns the zones in order of their names, and whether there are replicas in both stages.
func zonesOf(replicas []*upstream.Replica) (zones []*zone, divided bool) {
	byName := make(map[string]*zone)
	prefill, decode := 0, 0
	for _, r := range replicas {
		z := byName[r.Zone]
		if z == nil {
			z = &zone{name: r.Zone}
			byName[r.Zone] = z
			zones = append(zones, z)
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
	slices.SortFunc(zones, func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
	return zones, prefill > 0 && decode > 0
}

// size returns the number of replicas that are in a stage of their own.
func (z *zone) size() int { return len(z.prefill) + len(z.decode) }

// plan returns the changes that bring the number of decode replicas within the bounds. The last replicas change first. An
// order, if any, sorts the better decode replicas before the others.
func (z *zone) plan(b bounds, order func(a, b *upstream.Replica) int) []Change {
	prefill, decode := z.prefill, z.decode
	if order != nil {
		prefill, decode = slices.Clone(prefill), slices.Clone(decode)
		slices.SortStableFunc(prefill, func(a, b *upstream.Replica) int { return order(b, a) })
		slices.SortStableFunc(decode, order)
	}
	var changes []Change
	for i := len(prefill) - 1; i >= 0 && len(decode)+len(changes) < b.least; i-- {
		changes = append(changes, Change{prefill[i], upstream.Decode})
	}
	for i := len(decode) - 1; i >= b.most; i-- {
		changes = append(changes, Change{decode[i], upstream.Prefill})
	}
	return changes
}
