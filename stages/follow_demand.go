package stages

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"rhubarbpoint/activity"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

const (
	// demandInterval is the least time between two calls of Demand. Instances report once a second.
	demandInterval = time.Second
	// demandTimeout bounds a call of Demand. It is short because orders wait for it.
	demandTimeout = 400 * time.Millisecond
)

// followDemand decides on the divisions of the services that follow the demand, and reports whether there are any. The
// demand is asked for only while this instance holds the duties. To learn of a change by demand that is due, an instance
// would have to ask for the demand without holding them, so the duties are needed all the time.
func (c *Controller) followDemand(ctx context.Context, now time.Time) (needed bool) {
	table := c.opts.Table()
	if table == nil || c.opts.Demand == nil {
		return false
	}
	term, may := c.opts.Authority.Term(now)
	if !may {
		term.Fence = 0
	}
	maps.DeleteFunc(c.services, func(name string, _ *serviceDivision) bool {
		service, found := table.Services[name]
		return !found || !followsDemand(&service, c.opts.ByDemand)
	})
	for name, service := range table.Services {
		if !followsDemand(&service, c.opts.ByDemand) {
			continue
		}
		needed = c.see(now, &service, name, term.Fence) || needed
	}
	if may && needed {
		c.sampleDemand(ctx, now)
	}
	state := State{Services: make(map[string]ServiceState, len(c.services))}
	for name, d := range c.services {
		if may {
			c.decide(ctx, now, name, d)
		}
		state.Services[name] = d.state()
	}
	c.dump.Store(&state)
	return needed
}

// see takes note of the listed replicas of a service and reports whether they are divided into stages.
func (c *Controller) see(now time.Time, service *traffic.Service, name string, fence int64) bool {
	d := c.services[name]
	if d == nil {
		d = newServiceDivision()
		c.services[name] = d
	}
	d.begin(now, fence)
	replicas := c.opts.Replicas.Available(name)
	zones, divided := zonesOf(replicas)
	changing := make(map[string]int)
	for incarnation, o := range c.ordered {
		listed := slices.ContainsFunc(replicas, func(r *upstream.Replica) bool { return r.ID == incarnation.ID })
		if o.service == name && now.Sub(o.at) < maxChangeTime && !listed {
			changing[o.zone]++
		}
	}
	d.see(now, service.Engine.Slots, zones, changing)
	return divided
}

// sampleDemand asks for the demand, at most once in demandInterval.
func (c *Controller) sampleDemand(ctx context.Context, now time.Time) {
	if now.Sub(c.asked) < demandInterval {
		return
	}
	c.asked = now
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	fleet, err := c.opts.Demand(ctx)
	if err != nil {
		c.count("demand_failures")
		return
	}
	c.addSamples(now, fleet)
}

func (c *Controller) addSamples(now time.Time, fleet activity.Fleet) {
	for name, d := range c.services {
		if s, known := newDemandSample(now, fleet.Zones[name], d.replicas()); known {
			d.window = d.window.add(s)
		}
	}
}

// decide decides on one division and logs a change with its inputs.
func (c *Controller) decide(ctx context.Context, now time.Time, name string, d *serviceDivision) {
	wasKnown, before := d.known, d.division
	changed := d.decide(now)
	if wasKnown && !d.known {
		c.count("demand_unknown")
		eventDemandUnknown.Log(ctx, c.opts.Logger, slog.String("service", name), slog.Int64("fence", d.fence),
			slog.Int64("age_ms", d.demand.age.Milliseconds()), slog.Float64("decode_share", d.division.decodeShare))
	}
	if !changed {
		return
	}
	c.count("division_changes")
	var from, to []string
	slots := 0
	for _, z := range d.counts {
		next := d.division.count(d.slots, z)
		from, to = append(from, fmt.Sprintf("%s:%d/%d", z.zone, z.decode, z.replicas)), append(to, fmt.Sprintf("%s:%d/%d", z.zone, next, z.replicas))
		slots += next * d.slots
	}
	eventDivisionChanged.Log(ctx, c.opts.Logger, slog.String("service", name), slog.Int64("fence", d.fence),
		slog.Float64("slots_demand", d.demand.slots), slog.Float64("utilisation", d.demand.slots/float64(max(1, slots))),
		slog.Float64("tokens_per_s", d.demand.tokensPerSecond), slog.Int64("age_ms", d.demand.age.Milliseconds()),
		slog.Int("instances", d.demand.instances), slog.Float64("from_share", before.decodeShare),
		slog.Float64("to_share", d.division.decodeShare), slog.String("from", strings.Join(from, " ")), slog.String("to", strings.Join(to, " ")))
}
