package scale

// demandWeight is the part of the preemptible replicas that is spread over the regions by their demand. The rest is
// spread by the number of zones, so that a region with little demand can take over that of others.
const demandWeight = 0.5

// spread returns the number of preemptible replicas for each zone, in order of the zones: the least numbers with which
// need replicas are left after the loss of the largest zone's. The reserve of on-demand replicas counts toward the need.
// Replicas are added one at a time to the zone with the fewest for its weight, so that a higher need never lowers a
// zone's number; of equal zones the cheaper one is first.
func spread(zones []*zone, samples []Sample, need float64, reserve, least, most int) []int {
	weights := zoneWeights(zones, samples)
	numbers := make([]int, len(zones))
	total := 0
	for i, z := range zones {
		numbers[i] = max(0, least-z.reserve)
		total += numbers[i]
	}
	for {
		largest := 0
		if len(zones) > 1 {
			for _, n := range numbers {
				largest = max(largest, n)
			}
		}
		if float64(total-largest+reserve) >= need {
			return numbers
		}
		next := -1
		for i, z := range zones {
			if numbers[i] >= most-z.reserve {
				continue
			}
			if next < 0 || better(weights[i]/float64(numbers[i]+1), z.price, weights[next]/float64(numbers[next]+1), zones[next].price) {
				next = i
			}
		}
		if next < 0 {
			return numbers
		}
		numbers[next]++
		total++
	}
}

// better compares the weight for each replica, then the price. Weights that differ by rounding only are equal.
func better(weight, price, otherWeight, otherPrice float64) bool {
	const tolerance = 1e-9
	if weight > otherWeight*(1+tolerance) {
		return true
	}
	return weight > otherWeight*(1-tolerance) && price < otherPrice
}

// zoneWeights returns the share of the replicas for each zone. The zones of a region have equal shares.
func zoneWeights(zones []*zone, samples []Sample) []float64 {
	count := make(map[string]float64)
	for _, z := range zones {
		count[z.region]++
	}
	demand := make(map[string]float64)
	total := 0.0
	for region := range count {
		demand[region] = median(samples, func(s *Sample) float64 { return s.Regions[region] })
		total += demand[region]
	}
	weights := make([]float64, len(zones))
	for i, z := range zones {
		weights[i] = 1 / float64(len(zones))
		if total > 0 {
			weights[i] = (1-demandWeight)*weights[i] + demandWeight*demand[z.region]/total/count[z.region]
		}
	}
	return weights
}

// move gives the missing replicas of a zone to others: first to those of its region, then to all. It returns how many
// found no room.
func move(zones []*zone, from *zone, missing, most int) int {
	for _, sameRegion := range []bool{true, false} {
		for ; missing > 0; missing-- {
			var to *zone
			for _, z := range byPrice(zones) {
				if z == from || z.unavailable[Preemptible] || z.lost() || sameRegion && z.region != from.region || z.base+z.extra+z.count(OnDemand) >= most {
					continue
				}
				if to == nil || z.base+z.extra < to.base+to.extra {
					to = z
				}
			}
			if to == nil {
				break
			}
			to.extra++
		}
	}
	return missing
}
