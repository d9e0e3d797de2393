package admit

import "slices"

// claimant is a workspace in the division of the capacity.
type claimant struct{ weight, demand float64 }

// level returns the rate for each unit of weight at which the capacity is divided, so that each claimant gets the
// smaller of its demand and its weight × level (max-min fairness).
func level(capacity float64, claimants []claimant) float64 {
	order := slices.Clone(claimants)
	slices.SortFunc(order, func(a, b claimant) int {
		switch x, y := a.demand/a.weight, b.demand/b.weight; {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	weights := 0.0
	for _, c := range order {
		weights += c.weight
	}
	for _, c := range order {
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
		return 1e18 // all demands fit
	}
	return capacity / weights
}
