package stages

// zoneCount is the number of replicas of a service in a zone, and how many of them decode.
type zoneCount struct {
	zone             string
	replicas, decode int
}

// countsOf returns the numbers of zones that can be divided.
func countsOf(zones []*zone) []zoneCount {
	var counts []zoneCount
	for _, z := range zones {
		if z.size() >= 2 {
			counts = append(counts, zoneCount{z.name, z.size(), len(z.decode)})
		}
	}
	return counts
}

// defaultCounts returns the zones as the default division divides them.
func defaultCounts(zones []zoneCount, slots int) []zoneCount {
	counts := make([]zoneCount, len(zones))
	for i, z := range zones {
		counts[i] = zoneCount{z.zone, z.replicas, decodeCount(z.replicas, slots, targetSlotsPerPrefill)}
	}
	return counts
}
