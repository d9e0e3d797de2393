package bench

import (
	"context"
	"fmt"
	"time"

	"rhubarbpoint/engine"
	"rhubarbpoint/role"
	"rhubarbpoint/role/controller"
)

// holder is the instance that plans the roles of one region, from what its own table knows.
type holder struct {
	sim        *Sim
	region     int
	entry      *entry
	controller *controller.Controller
	orders     int
	draining   time.Duration // start of the last drain
	marked     string
}

func newHolder(sim *Sim, region int, planner controller.Planner) *holder {
	h := &holder{sim: sim, region: region, entry: sim.entries[region]}
	h.controller = controller.New(controller.Options{
		Applier: h, Planner: planner, View: h.view, Exclude: h.mark,
		NewID:        func() string { h.orders++; return fmt.Sprintf("%d-%d", region, h.orders) },
		Automatic:    func() bool { return true },
		ChangeTime:   func() time.Duration { return changeTime },
		DrainTimeout: func() time.Duration { return 2 * time.Minute },
		Adapters:     func(string) []string { return nil },
	})
	return h
}

func (h *holder) tick() {
	h.controller.Step(context.Background(), h.sim.Time())
	h.sim.After(controller.Interval, h.tick)
}

// HoldsAuthority implements controller.Applier.
func (h *holder) HoldsAuthority() bool { return true }

// Apply implements controller.Applier.
func (h *holder) Apply(_ context.Context, id string, order *engine.Order) error {
	m := h.sim.byID[id]
	if m.down || m.target != nil {
		return engine.ErrBusy
	}
	m.order(order.Role)
	h.sim.result.RoleChanges++
	h.sim.result.Schedule = append(h.sim.result.Schedule, ScheduledChange{
		Seconds: h.sim.Now().Seconds(), Engine: id, Role: string(order.Role),
		region: h.region, from: m.role, began: h.draining,
	})
	return nil
}

func (h *holder) mark(_ time.Time, id string, until time.Time) {
	if until.IsZero() {
		h.marked = ""
	} else if h.marked != id {
		h.marked, h.draining = id, h.sim.Now()
	}
	for _, e := range h.sim.entries {
		delay := localLatency
		if e.region != h.region {
			delay = regionLatency
		}
		h.sim.After(delay, func() { e.table.SetPlanned(h.sim.Time(), id, until) })
	}
}

func (h *holder) view(now time.Time) controller.View {
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
