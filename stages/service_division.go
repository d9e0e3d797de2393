package stages

import (
	"time"

	"rhubarbpoint/upstream"
)

// serviceDivision is what a controller knows about the division of one service by demand.
type serviceDivision struct {
	slots int
	// fence is the term to which division and window belong, 0 while this instance does not hold the duties.
	fence    int64
	division division
	window   demandWindow
	targets  map[string]zoneTarget
	counts   []zoneCount
	known    bool
	demand   demandSample
}

func newServiceDivision() *serviceDivision {
	return &serviceDivision{targets: make(map[string]zoneTarget)}
}

// begin forgets what another term has decided.
func (d *serviceDivision) begin(now time.Time, fence int64) {
	if d.fence == fence {
		return
	}
	*d = serviceDivision{slots: d.slots, fence: fence, targets: d.targets, counts: d.counts}
	if fence != 0 {
		d.division.since = now
	}
	for name, t := range d.targets {
		t.want, t.wantedAt = 0, time.Time{}
		d.targets[name] = t
	}
}

// see takes note of the replicas that are listed now. changing is the number of replicas of each zone that are not, because
// they are changing their stage.
func (d *serviceDivision) see(now time.Time, slots int, zones []*zone, changing map[string]int) {
	d.slots, d.counts = slots, countsOf(zones)
	seen := make(map[string]int, len(zones))
	for _, z := range zones {
		seen[z.name] = z.size()
	}
	for name := range changing {
		seen[name] += 0
	}
	for name := range d.targets {
		seen[name] += 0
	}
	for name, listed := range seen {
		d.targets[name] = d.targets[name].see(now, listed+changing[name])
	}
}

// replicas returns the number of replicas that are or soon will be listed.
func (d *serviceDivision) replicas() (sum int) {
	for _, t := range d.targets {
		sum += t.replicas
	}
	return sum
}

// decide decides on the division and reports whether it has changed.
func (d *serviceDivision) decide(now time.Time) (changed bool) {
	d.demand, d.known = d.window.sustained(now)
	d.division, changed = d.division.next(now, d.slots, d.counts, d.demand, d.known)
	return changed
}

// plan returns the changes for the listed replicas.
func (d *serviceDivision) plan(now time.Time, replicas []*upstream.Replica, order func(a, b *upstream.Replica) int) []Change {
	return planWithin(replicas, func(z *zone) bounds { return d.bounds(now, z) }, order)
}

// bounds returns the bounds for a zone. A zone whose number of replicas fell lately is left as it is.
func (d *serviceDivision) bounds(now time.Time, z *zone) bounds {
	t, replicas := d.targets[z.name], z.size()
	b := d.division.bounds(now, d.slots, replicas)
	if d.division.decodeShare > 0 {
		t, b = t.follow(now, demandCount(replicas, d.division.decodeShare))
		d.targets[z.name] = t
		b.least, b.most = min(b.least, replicas-1), min(b.most, replicas-1)
	}
	if !t.settled(now) {
		return bounds{0, replicas}
	}
	return b
}
