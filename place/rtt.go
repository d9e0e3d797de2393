package place

import "rhubarbpoint/upstream"

// Round-trip times between availability zones and between regions, in milliseconds.
const (
	zoneRTT   = 2.0
	regionRTT = 40.0
)

// rtt returns the round-trip time from this instance to a replica, in milliseconds.
func (b *Balancer) rtt(r *upstream.Replica) float64 {
	return rttBetween(b.opts.Region, b.opts.Zone, r.Region, r.Zone)
}

func rttBetween(regionA, zoneA, regionB, zoneB string) float64 {
	switch {
	case zoneA == zoneB:
		return 0
	case regionA == regionB && regionA != "":
		return zoneRTT
	}
	return regionRTT
}
