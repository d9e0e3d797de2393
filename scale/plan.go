// Package scale orders the numbers of replicas of the services whose configuration allows it. Preemptible replicas carry
// the load, because they are cheap; a few on-demand replicas are kept for the most urgent requests. docs/design/scale.md
// has the reasons for the numbers.
//
// Plan decides, Controller reads its inputs and sends its orders while this instance holds the duties.
package scale

import (
	"math"
	"slices"
	"time"

	"rhubarbpoint/upstream"
)

const (
	// orderMargin is added to the boot time for the call, the list of replicas and the interval of decisions. Until both
	// have passed, an order can still take effect and is not repeated.
	orderMargin = 2 * time.Second
	// unavailableTime is how long no order is sent to a zone that was reclaimed or refused one. Capacity is away for 4 to
	// 8 s after a reclaim, and a refused call costs little against replicas that are missing for longer than necessary.
	unavailableTime = 3 * time.Second
	// settleTime is how long a load that a decrease would answer must last, and how long numbers stay after the share of
	// a zone was carried by others, so that the returned replicas have warm caches before others leave.
	settleTime = 20 * time.Second
	// maxChanges is the largest number of replicas of a service that one decision starts or stops. Every instance receives
	// the entry of each replica that changes, most of them through other instances with small links: with 3,000 replicas
	// replaced at once, a new configuration was in force after 6.9 s.
	maxChanges = 50
	// shrinkShare is the largest part of a zone's replicas that one decrease removes.
	shrinkShare = 0.25
)

// Plan returns the numbers of replicas to order for each zone of a service. It is pure.
//
// It answers a load that oscillates slowly and bursts for seconds, on replicas of which a whole zone can be taken away
// at any time. The preemptible replicas that are left after the loss of the largest zone carry the load including its
// swing and bursts; on-demand replicas are kept as a reserve, at most one in a region, and more only while preemptible
// ones are to be had nowhere and the most urgent requests need them. Increases are ordered at once, decreases late and in
// steps, and none while the demand is unknown or a zone is without its replicas.
func Plan(now time.Time, in Input) Decision {
	p := &planner{now: now, in: &in, memory: in.Memory.clone(), changes: maxChanges}
	p.zones = in.zones(now)
	if len(p.zones) == 0 {
		return Decision{Memory: in.Memory}
	}
	p.noteReclaims()
	p.measure()
	p.chooseReserve()
	p.chooseBase()
	p.moveShares()
	guard := newStageGuard(p.zones)
	for _, z := range p.zones {
		p.orderPreemptible(z, guard)
		p.orderOnDemand(z, guard)
	}
	p.decision.Memory = p.memory
	return p.decision
}

// planner is one run of Plan.
type planner struct {
	now      time.Time
	in       *Input
	zones    []*zone
	memory   Memory
	decision Decision

	sample Sample
	known  bool // whether sample is

	// changes is the number of replicas that this decision may still start or stop.
	changes int
}

// allowChanges returns how many of n replicas this decision may start or stop.
func (p *planner) allowChanges(n int) int {
	n = min(n, p.changes)
	p.changes -= n
	return n
}

// noteReclaims records the zones whose preemptible replicas are being taken away.
func (p *planner) noteReclaims() {
	for _, z := range p.zones {
		if z.reclaimed() && !z.unavailable[Preemptible] {
			z.unavailable[Preemptible] = true
			p.memory.UnavailableSince[Subject{z.name, Preemptible}] = p.now
			p.decision.Reclaimed = append(p.decision.Reclaimed, z.name)
		}
	}
}

// measure converts the demand to work and remembers it.
func (p *planner) measure() {
	var serving []upstream.Replica
	slots, preemptible, base := 0, 0, 0
	for _, z := range p.zones {
		serving = append(append(serving, z.serving[OnDemand]...), z.serving[Preemptible]...)
		preemptible += len(z.serving[Preemptible])
		base += p.memory.Base[z.name]
	}
	if e := p.in.Service.Engine; e != nil {
		slots = e.Slots
	} else {
		for i := range serving {
			slots = max(slots, serving[i].Slots)
		}
	}
	p.sample, p.known = newSample(p.now, p.in.Demand, slots, p.in.RegionOf)
	if p.known {
		p.sample.StageFactor = stageFactor(&p.sample, serving)
	}
	usual := highest(p.memory.Samples, func(s *Sample) float64 { return float64(s.Instances) })
	p.sample.Complete = p.sample.Complete && float64(p.sample.Instances) >= minInstancesShare*usual
	p.memory.remember(p.now, p.sample, p.known, preemptible >= base, p.in.Service.Scaling.BootTime)
	p.decision.Figures = Figures{
		DemandKnown: p.known, Age: p.sample.Age, Work: p.sample.Work(),
		Sustained: median(p.memory.Samples, (*Sample).Work), Need: p.memory.need(),
	}
}

// chooseReserve sets the on-demand replicas that each zone keeps: in total as many as the most urgent requests need, at
// least one and at most one in each region. More would cost as much as the preemptible replicas of a whole zone each,
// and the most urgent requests are served first by whatever preemptible replicas are left. While the demand is unknown
// the number stays; at the start there is one in each region.
func (p *planner) chooseReserve() {
	cheapest := byPrice(p.zones)
	var regions []string
	for _, z := range cheapest {
		if !slices.Contains(regions, z.region) {
			regions = append(regions, z.region)
		}
	}
	reserve := p.memory.Reserve
	if reserve == 0 {
		reserve = p.orderedReserve(len(regions))
	}
	if p.known {
		urgent := highest(p.memory.Samples, func(s *Sample) float64 { return s.Urgent })
		needed := max(1, int(math.Ceil(urgent/peakUtilisation)))
		if needed > reserve || p.memory.mayShrink(p.now, &p.sample) {
			reserve = needed
		}
	}
	reserve = min(reserve, len(regions))
	p.memory.Reserve = reserve
	p.decision.Figures.Reserve = reserve
	for _, region := range regions[:reserve] {
		var chosen *zone
		for _, z := range cheapest {
			// A zone that has an on-demand replica is preferred to a cheaper one that does not.
			if z.region == region && (chosen == nil || chosen.count(OnDemand) == 0 && z.count(OnDemand) > 0) {
				chosen = z
			}
		}
		chosen.reserve++
	}
}

// orderedReserve returns the reserve that a former holder left, or one for each region if it ordered none.
func (p *planner) orderedReserve(regions int) int {
	left, ordered := 0, false
	for _, z := range p.zones {
		left += z.current[OnDemand]
		ordered = ordered || z.known[OnDemand]
	}
	if !ordered {
		return regions
	}
	return max(1, min(left, regions))
}

// chooseBase sets the preemptible replicas of each zone while all zones have theirs. Without demand, numbers stay: they
// are those ordered last or, at the start, those of the replicas to be replaced.
func (p *planner) chooseBase() {
	scaling := p.in.Service.Scaling
	var wanted []int
	if p.known {
		wanted = spread(p.zones, p.memory.Samples, p.decision.Figures.Need, p.decision.Figures.Reserve, scaling.Min, scaling.Max)
	}
	shrink := p.known && p.memory.mayShrink(p.now, &p.sample)
	for i, z := range p.zones {
		base, remembered := p.memory.Base[z.name]
		switch {
		case remembered:
		case z.known[Preemptible]:
			base = z.current[Preemptible]
		default:
			base = p.withSpare(len(z.serving[OnDemand]) + len(z.serving[Preemptible]))
		}
		if !z.known[OnDemand] {
			// The list of replicas may have been incomplete at the first decision.
			base = max(base, p.withSpare(len(z.serving[OnDemand])))
		}
		if p.known {
			base = p.approach(z, base, wanted[i], shrink)
		}
		z.base = min(max(base, scaling.Min-z.reserve), scaling.Max-z.reserve)
		p.memory.Base[z.name] = z.base
	}
}

// withSpare returns the number of preemptible replicas of a zone that replaces n on-demand ones: with as many in every
// zone, the loss of one zone leaves what there was.
func (p *planner) withSpare(n int) int {
	if len(p.zones) < 2 {
		return n
	}
	return int(math.Round(float64(n*len(p.zones)) / float64(len(p.zones)-1)))
}

// approach returns the next number on the way from base to wanted: an increase at once, a decrease in steps after
// settleTime each.
func (p *planner) approach(z *zone, base, wanted int, shrink bool) int {
	if wanted >= base || !shrink {
		delete(p.memory.AboveSince, z.name)
		return max(base, wanted)
	}
	since, above := p.memory.AboveSince[z.name]
	if !above {
		p.memory.AboveSince[z.name] = p.now
		return base
	}
	if p.now.Sub(since) < settleTime {
		return base
	}
	p.memory.AboveSince[z.name] = p.now
	return max(wanted, base-shrinkStep(base))
}

func shrinkStep(n int) int { return max(1, int(float64(n)*shrinkShare)) }

// moveShares gives the share of the zones without preemptible replicas to other zones and, if they have no room either,
// to on-demand replicas as far as the most urgent requests need them.
func (p *planner) moveShares() {
	most := p.in.Service.Scaling.Max
	unplaced := 0
	for _, z := range p.zones {
		if !z.unavailable[Preemptible] && !z.lost() {
			continue
		}
		if missing := z.base - len(z.serving[Preemptible]); missing > 0 {
			p.memory.MovedAt = p.now
			unplaced += move(p.zones, z, missing, most)
		}
	}
	p.decision.Figures.Unplaced = unplaced
	p.chooseUrgent(unplaced)
	for n, progress := p.memory.Urgent, true; n > 0 && progress; {
		progress = false
		seen := make(map[string]bool) // one for each region in turn, in its cheapest zone with room
		for _, z := range byPrice(p.zones) {
			if n > 0 && !seen[z.region] && !z.unavailable[OnDemand] && z.reserve+z.occupied() < most {
				seen[z.region] = true
				z.reserve++
				n--
				progress = true
			}
		}
	}
}

// chooseUrgent sets the on-demand replicas beyond the reserve: what the most urgent requests need beyond the replicas
// that serve or are on their way. They are kept for settleTime.
func (p *planner) chooseUrgent(unplaced int) {
	needed := 0
	if unplaced > 0 {
		urgent := highest(p.memory.Samples, func(s *Sample) float64 { return s.Urgent })
		left := float64(p.decision.Figures.Reserve)
		for _, z := range p.zones {
			left += float64(len(z.serving[Preemptible]))
			if z.inFlight[Preemptible] && !z.unavailable[Preemptible] {
				left += float64(max(0, z.current[Preemptible]-len(z.serving[Preemptible])))
			}
		}
		needed = min(unplaced, max(0, int(math.Ceil(urgent/peakUtilisation-left))))
	}
	if needed >= p.memory.Urgent || p.now.Sub(p.memory.UrgentAt) >= settleTime {
		p.memory.Urgent = needed
	}
	if needed > 0 && needed >= p.memory.Urgent {
		p.memory.UrgentAt = p.now
	}
}

// orderPreemptible orders the preemptible replicas of a zone. While on-demand replicas fill the zone, there is room only
// beside them.
func (p *planner) orderPreemptible(z *zone, guard *stageGuard) {
	room := max(0, p.in.Service.Scaling.Max-max(z.count(OnDemand), z.reserve))
	if z.unavailable[Preemptible] {
		if z.current[Preemptible] > room && !z.inFlight[Preemptible] {
			// Makes room for on-demand ones. A number above those that are left would be refused.
			p.order(z, Preemptible, min(room, len(z.serving[Preemptible])), Bound)
		}
		return
	}
	wanted := min(z.base+z.extra, room)
	current := z.current[Preemptible]
	switch {
	case !z.known[Preemptible] && wanted == current:
	case wanted > current:
		reason := Growth
		switch {
		case z.extra > 0:
			reason = Moved
		case len(z.serving[OnDemand]) > z.reserve:
			reason = Replacement
		}
		if n := p.allowChanges(wanted - current); n > 0 {
			p.order(z, Preemptible, current+n, reason)
		}
	case current > room:
		p.order(z, Preemptible, room, Bound)
	case wanted < current && p.known && p.sample.Complete && p.now.Sub(p.memory.MovedAt) >= settleTime:
		if n := guard.allow(z, Preemptible, min(current-wanted, shrinkStep(current))); n > 0 {
			p.order(z, Preemptible, current-n, Shrinkage)
			return
		}
		p.repeat(z, Preemptible)
	default:
		p.repeat(z, Preemptible)
	}
}

// orderOnDemand orders the on-demand replicas of a zone: the reserve, and those for which no preemptible replica serves
// yet.
func (p *planner) orderOnDemand(z *zone, guard *stageGuard) {
	if z.unavailable[OnDemand] {
		return
	}
	current := z.current[OnDemand]
	preemptible := len(z.serving[Preemptible])
	wanted := max(z.reserve, min(current, z.base-preemptible), p.in.Service.Scaling.Min-max(preemptible, z.base))
	wanted = min(wanted, max(current, p.in.Service.Scaling.Max-z.count(Preemptible)))
	switch {
	case wanted > current:
		p.order(z, OnDemand, wanted, Reserve)
	case wanted < current:
		if n := p.allowChanges(guard.allow(z, OnDemand, current-wanted)); n > 0 {
			p.order(z, OnDemand, current-n, Replacement)
			return
		}
		p.repeat(z, OnDemand)
	default:
		p.repeat(z, OnDemand)
	}
}

// repeat repeats the last order if it has had no effect in time.
func (p *planner) repeat(z *zone, kind Kind) {
	if z.known[kind] && !z.inFlight[kind] && !z.unavailable[kind] && len(z.serving[kind]) != z.current[kind] {
		p.order(z, kind, z.current[kind], Repetition)
	}
}

func (p *planner) order(z *zone, kind Kind, to int, reason Reason) {
	price := z.price
	if kind == Preemptible {
		price *= p.in.Service.Scaling.PreemptiblePrice
	}
	p.memory.OrderedAt[Subject{z.name, kind}] = p.now
	p.decision.Orders = append(p.decision.Orders, Order{
		Subject: Subject{z.name, kind}, From: z.current[kind], To: to, Reason: reason, Present: len(z.serving[kind]), Price: price,
	})
}
