package scale

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbpoint/upstream"
)

// zone is the state of a zone in one decision.
type zone struct {
	name, region string
	price        float64
	// serving are the replicas by kind that do not drain.
	serving [2][]upstream.Replica
	// current is the number in force by kind: the one ordered last, or the number that serve.
	current [2]int
	known   [2]bool // whether current was ordered
	// unavailable is set while orders for more replicas would be refused.
	unavailable [2]bool
	// inFlight is set while an order can still be on its way.
	inFlight [2]bool
	// leaving counts the preemptible replicas that are being taken away, draining all that drain.
	leaving, draining int

	// reserve is the number of on-demand replicas to be kept, base that of preemptible ones while all zones have theirs,
	// extra what this zone carries for others.
	reserve, base, extra int
}

// count returns how many replicas of a kind can exist while an order may be on its way.
func (z *zone) count(kind Kind) int { return max(len(z.serving[kind]), z.current[kind]) }

// occupied returns how many preemptible replicas leave no room for on-demand ones. Where none are to be had, those
// ordered do not count: the order is reduced first.
func (z *zone) occupied() int {
	if z.unavailable[Preemptible] {
		return len(z.serving[Preemptible])
	}
	return z.count(Preemptible)
}

// lost reports whether the zone has none of its preemptible replicas although nothing is known to keep them away.
func (z *zone) lost() bool {
	return len(z.serving[Preemptible]) == 0 && z.known[Preemptible] && z.current[Preemptible] > 0 && !z.inFlight[Preemptible]
}

// reclaimed reports whether the preemptible replicas are being taken away together. A decrease that was ordered leaves
// as many as ordered.
func (z *zone) reclaimed() bool {
	return z.leaving > 0 && 2*z.draining >= z.draining+len(z.serving[Preemptible]) && len(z.serving[Preemptible]) < z.current[Preemptible]
}

// zones returns the zones with a price, with replicas or with an order, in order of their names.
func (in *Input) zones(now time.Time) []*zone {
	byName := make(map[string]*zone)
	get := func(name string) *zone {
		z := byName[name]
		if z == nil {
			z = &zone{name: name, region: in.RegionOf(name), price: in.Service.Scaling.Price(name)}
			byName[name] = z
		}
		return z
	}
	for name := range in.Service.Scaling.ZonePrices {
		get(name)
	}
	for _, r := range in.Replicas {
		z, kind := get(r.Zone), OnDemand
		if r.Preemptible {
			kind = Preemptible
		}
		switch {
		case !r.Draining:
			z.serving[kind] = append(z.serving[kind], r)
		case r.Preemptible:
			z.draining++
			if r.LeavesIn > 0 {
				z.leaving++
			}
		}
	}
	for subject := range in.Ordered {
		get(subject.Zone)
	}
	for _, z := range byName {
		for _, kind := range []Kind{OnDemand, Preemptible} {
			subject := Subject{z.name, kind}
			z.current[kind] = len(z.serving[kind])
			if n, known := in.Ordered[subject]; known {
				z.current[kind], z.known[kind] = n, true
			}
			if at, ordered := in.Memory.OrderedAt[subject]; ordered {
				z.inFlight[kind] = now.Sub(at) < in.Service.Scaling.BootTime+orderMargin
			}
			if at, refused := in.Memory.UnavailableSince[subject]; refused {
				z.unavailable[kind] = now.Sub(at) < unavailableTime
			}
		}
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
}

// byPrice returns the zones in order of their prices.
func byPrice(zones []*zone) []*zone {
	sorted := slices.Clone(zones)
	slices.SortStableFunc(sorted, func(a, b *zone) int { return cmp.Compare(a.price, b.price) })
	return sorted
}
