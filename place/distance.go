package place

import "rhubarbpoint/upstream"

// Round trips between availability zones and between regions, in milliseconds.
const (
	zoneTrip   = 2.0
	regionTrip = 40.0
)

// trip returns the round trip from this instance to a replica, in milliseconds.
func (b *Balancer) trip(r *upstream.Replica) float64 {
	return tripBetween(b.opts.Region, b.opts.Zone, r.Region, r.Zone)
}

func tripBetween(regionA, zoneA, regionB, zoneB string) float64 {
	switch {
	case zoneA == zoneB:
		return 0
	case regionA == regionB && regionA != "":
		return zoneTrip
	}
	return regionTrip
}
