package stages

import "time"

const (
	// wishTime is how long the demand must ask for a change without interruption. Half a period of the oscillation or
	// three bursts are shorter.
	wishTime = 10 * time.Second
	// minDivisionInterval is the least time between two changes of the division of a zone. Each order takes a replica out
	// of service for 3 s and has a price.
	minDivisionInterval = 20 * time.Second
	// adoptionTime is how long a new holder leaves zones unchanged that a former one may have divided by demand. It is
	// enough for the demand to become known and to ask for a change (20 s) in spite of some lost calls.
	adoptionTime = 30 * time.Second
)

// division is what a holder has decided on the stages of a service by its demand.
type division struct {
	since time.Time // start of the term
	// decodeShare is the share of the replicas of each zone that decode, 0 for the default division.
	decodeShare float64
	// direction is the sign of the last change of the number of decode replicas, 0 before the first one.
	direction int
	changedAt time.Time
	// wish is the sign of the change that the demand has asked for since wishSince, 0 for none.
	wish      int
	wishSince time.Time
}

// next returns the division after a look at the sustained demand, and whether it was changed. It answers a demand for
// slots that differs by deployment and oscillates by 27 to 55 % in 11 to 15 s: a change must be wanted for wishTime, is
// followed by another one only after minDivisionInterval, and is undone only above growUtilisation or below
// shrinkUtilisation. Without known demand the division stays.
func (d division) next(now time.Time, slots int, zones []zoneCount, demand demandSample, known bool) (division, bool) {
	if !d.adopting(now) {
		zones = defaultCounts(zones, slots)
	}
	d.direction = d.directionFor(slots, zones)
	wish, share := 0, 0.0
	if known {
		wish, share = d.wanted(slots, zones, demand)
	}
	if wish != d.wish || d.wishSince.IsZero() || !known {
		d.wish, d.wishSince = wish, now
	}
	if !known || now.Sub(d.wishSince) < wishTime {
		return d, false
	}
	if wish == 0 {
		d.decodeShare = d.confirmedShare(slots, zones)
		return d, false
	}
	if !d.changedAt.IsZero() && now.Sub(d.changedAt) < minDivisionInterval {
		return d, false
	}
	d.decodeShare, d.direction, d.changedAt, d.wish, d.wishSince = share, wish, now, 0, now
	return d, true
}

// wanted returns the sign of the change that the demand asks for, and the share of decode replicas after it.
func (d division) wanted(slots int, zones []zoneCount, demand demandSample) (wish int, share float64) {
	shrink := targetUtilisation
	if d.direction > 0 {
		shrink = shrinkUtilisation
	}
	perReplica := demand.slots / float64(demand.replicas)
	total := func(share float64) (sum int) {
		for _, z := range zones {
			sum += demandCount(z.replicas, share)
		}
		return sum
	}
	present := d.total(slots, zones)
	if total(shareFor(perReplica, slots, growUtilisation)) > present {
		return 1, shareFor(perReplica, slots, targetUtilisation)
	}
	if share = shareFor(perReplica, slots, shrink); total(share) < present {
		return -1, share
	}
	return 0, 0
}

// total returns the number of decode replicas of all zones by this division.
func (d division) total(slots int, zones []zoneCount) (sum int) {
	for _, z := range zones {
		sum += d.count(slots, z)
	}
	return sum
}

// count returns the number of decode replicas of a zone by this division. Before the first decision of a holder, a zone
// with fewer of them than by default counts as it is.
func (d division) count(slots int, z zoneCount) int {
	if d.decodeShare > 0 {
		return demandCount(z.replicas, d.decodeShare)
	}
	return min(decodeCount(z.replicas, slots, targetSlotsPerPrefill), max(demandCount(z.replicas, 0), z.decode))
}

// directionFor returns the direction of the last change. Zones with fewer decode replicas than by default, at the start
// of a term, are taken for the result of a decrease by a former holder.
func (d division) directionFor(slots int, zones []zoneCount) int {
	if d.decodeShare > 0 {
		return d.direction
	}
	for _, z := range zones {
		if d.count(slots, z) < decodeCount(z.replicas, slots, targetSlotsPerPrefill) {
			return -1
		}
	}
	return 0
}

// confirmedShare returns the share to keep once the demand agrees with the present division. It is 0 if that is the
// default one.
func (d division) confirmedShare(slots int, zones []zoneCount) float64 {
	if d.decodeShare > 0 || d.direction == 0 {
		return d.decodeShare
	}
	replicas := 0
	for _, z := range zones {
		replicas += z.replicas
	}
	return float64(d.total(slots, zones)) / float64(max(1, replicas))
}

// adopting reports whether zones may be as a former holder has divided them by demand, which this one does not know yet.
// This is also so for an instance that does not hold the duties.
func (d division) adopting(now time.Time) bool {
	return d.decodeShare == 0 && (d.since.IsZero() || now.Sub(d.since) < adoptionTime)
}

// bounds returns the bounds for a zone without a demand that is followed.
func (d division) bounds(now time.Time, slots, replicas int) bounds {
	b := defaultBounds(replicas, slots)
	if d.adopting(now) {
		b.least = min(b.least, demandCount(replicas, 0))
	}
	return b
}
