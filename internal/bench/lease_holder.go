package bench

import (
	"context"
	"fmt"
	"time"

	"rhubarbpoint/engine"
	"rhubarbpoint/role"
	"rhubarbpoint/role/controller"
)

// leaseHolder is the entry instance that holds the lease of a region and plans the roles of its engines, from the
// reports in its own table.
type leaseHolder struct {
	sim        *Sim
	region     int
	entry      *entry
	controller *controller.Controller
	orders     int
	drainStart time.Duration // of the last drain
	excluded   string        // engine that is draining for a change of role, or empty
}

func newLeaseHolder(sim *Sim, region int, planner controller.Planner) *leaseHolder {
	h := &leaseHolder{sim: sim, region: region, entry: sim.entries[region]}
	h.controller = controller.New(controller.Options{
		Applier: h, Planner: planner, View: h.view, Exclude: h.exclude,
		NewID:        func() string { h.orders++; return fmt.Sprintf("%d-%d", region, h.orders) },
		Automatic:    func() bool { return true },
		ChangeTime:   func() time.Duration { return roleChangeTime },
		DrainTimeout: func() time.Duration { return 2 * time.Minute },
		Adapters:     func(string) []string { return nil },
	})
	return h
}

// tick runs the controller once per interval.
func (h *leaseHolder) tick() {
	h.controller.Step(context.Background(), h.sim.Time())
	h.sim.After(controller.Interval, h.tick)
}

// HoldsAuthority implements controller.Applier.
func (h *leaseHolder) HoldsAuthority() bool { return true }

// Apply implements controller.Applier.
func (h *leaseHolder) Apply(_ context.Context, id string, order *engine.Order) error {
	m := h.sim.byID[id]
	if m.down || m.orderedRole != nil {
		return engine.ErrBusy
	}
	m.orderRole(order.Role)
	h.sim.result.RoleChanges++
	h.sim.result.Schedule = append(h.sim.result.Schedule, ScheduledChange{
		Seconds: h.sim.Now().Seconds(), Engine: id, Role: string(order.Role),
		region: h.region, from: m.role, drainStart: h.drainStart,
	})
	return nil
}

// exclude is the controller's Exclude callback. All entry instances learn of the exclusion after the network latency.
func (h *leaseHolder) exclude(_ time.Time, id string, until time.Time) {
	if until.IsZero() {
		h.excluded = ""
	} else if h.excluded != id {
		h.excluded, h.drainStart = id, h.sim.Now()
	}
	for _, e := range h.sim.entries {
		delay := sameRegionLatency
		if e.region != h.region {
			delay = crossRegionLatency
		}
		h.sim.After(delay, func() { e.table.SetPlanned(h.sim.Time(), id, until) })
	}
}

// view is the controller's View callback. It returns the engines of the region that have reported their load, and the
// unmet demand that the instance sees times the number of instances in the region.
func (h *leaseHolder) view(now time.Time) controller.View {
	state := h.entry.table.State(now)
	instances := float64(len(h.sim.entries) / Regions)
	view := controller.View{UnmetPrefill: state.UnmetPrefill * instances, UnmetDecode: state.UnmetDecode * instances}
	for _, e := range state.Engines {
		if !e.Local || !e.Reported {
			continue
		}
		view.Engines = append(view.Engines, controller.Engine{
			Engine: role.Engine{
				ID: e.ID, Role: e.Role, Usable: e.Available, Running: e.Running, Waiting: float64(e.Waiting),
				MaxRunning: e.MaxRunning, WaitingTokens: e.WaitingTokens, ArrivalRate: e.ArrivalRate,
				PrefillPerArrival: e.PrefillPerArrival, DecodePerArrival: e.DecodePerArrival,
				CachedTokens: float64(e.KnownBlocks * engine.BlockTokens), PrefillRate: e.PrefillRate,
				DecodeRate: e.DecodeRate, StepSeconds: e.StepSeconds,
			},
			Reported: now.Add(-time.Duration(e.ReportAge * float64(time.Second))),
			Empty:    e.Running < 0.5 && e.Waiting == 0,
			Models:   e.Models, Want: e.Models,
		})
	}
	return view
}
