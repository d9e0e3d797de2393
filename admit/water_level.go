package admit

import "slices"

// claimant is a workspace that gets a share of the capacity.
type claimant struct{ weight, demand float64 }

// waterLevel returns the rate per unit of weight of weighted max-min fairness: with it, each claimant gets the smaller
// of its demand and its weight × level.
func waterLevel(capacity float64, claimants []claimant) float64 {
	sorted := slices.Clone(claimants)
	slices.SortFunc(sorted, func(a, b claimant) int {
		switch x, y := a.demand/a.weight, b.demand/b.weight; {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	weights := 0.0
	for _, c := range sorted {
		weights += c.weight
	}
	for _, c := range sorted {
		if c.demand >= c.weight*capacity/weights {
			return capacity / weights
		}
		capacity -= c.demand
		weights -= c.weight
		if weights <= 0 {
			break
		}
	}
	if weights <= 0 {
		return 1e18 // the capacity covers all demands
	}
	return capacity / weights
}
