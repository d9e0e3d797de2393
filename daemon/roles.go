package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"rhubarbpoint/authority"
	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/role"
	"rhubarbpoint/role/controller"
	"rhubarbpoint/route"
)

// emptyRunning is the estimated number of running requests below which an engine counts as empty; estimates are
// fractional.
const emptyRunning = 0.5

// applier applies the controller's orders under the region's authority. It implements controller.Applier.
type applier struct{ holder *authority.LeaseHolder }

// Apply implements controller.Applier.
func (a applier) Apply(ctx context.Context, engineID string, order *engine.Order) error {
	return a.holder.Apply(ctx, engineID, *order)
}

// HoldsAuthority implements controller.Applier.
func (a applier) HoldsAuthority() bool {
	_, held := a.holder.FencingToken()
	return held
}

// newController returns the controller that changes roles and model versions while this instance holds the authority.
func newController(i *instance) *controller.Controller {
	return controller.New(controller.Options{
		Applier: applier{i.holder},
		Planner: &configuredPlanner{Planner: role.NewPlanner(policyOf(i.models())), models: i.models},
		View:    i.roleView,
		Exclude: func(_ time.Time, engineID string, until time.Time) {
			i.member.ExcludeUpstream(engineID, until)
		},
		NewID:      uuid.NewString,
		Automatic:  func() bool { return i.models().Roles.Automatic },
		ChangeTime: func() time.Duration { return i.models().Roles.ChangeTime.D() },
		DrainTimeout: func() time.Duration {
			if doc := i.manager.Current(); doc != nil {
				return doc.Network.MaxRequestDeadline.D()
			}
			return 0
		},
		Adapters: i.adapters,
		Logger:   i.logger,
	})
}

func (i *instance) models() config.Models {
	if doc := i.manager.Current(); doc != nil {
		return doc.Models
	}
	return config.Models{}
}

func (i *instance) adapters(model string) []string {
	for _, m := range i.models().Models {
		if m.Name == model {
			return m.Adapters
		}
	}
	return nil
}

// roleView returns what this instance knows of its region's engines. It knows only of the work that it refused itself,
// and multiplies that by the number of instances in the region.
func (i *instance) roleView(now time.Time) controller.View {
	state := i.table.State(now)
	instances := i.capacity.instances()
	view := controller.View{UnmetPrefill: state.UnmetPrefill * instances, UnmetDecode: state.UnmetDecode * instances}
	models := i.models()
	for _, e := range state.Engines {
		if e.Region != i.settings.Region || !e.Reported {
			continue
		}
		view.Engines = append(view.Engines, roleEngine(now, e, wantedModels(&models, e.ID)))
	}
	return view
}

func roleEngine(now time.Time, e route.EngineState, want []string) controller.Engine {
	return controller.Engine{
		Engine: role.Engine{
			ID: e.ID, Role: e.Role, Usable: e.Available,
			Running: e.Running, Waiting: float64(e.Waiting), MaxRunning: e.MaxRunning, WaitingTokens: e.WaitingTokens,
			ArrivalRate: e.ArrivalRate, PrefillPerArrival: e.PrefillPerArrival, DecodePerArrival: e.DecodePerArrival,
			CachedTokens: float64(e.KnownBlocks * engine.BlockTokens), PrefillRate: e.PrefillRate,
			DecodeRate: e.DecodeRate, StepSeconds: e.StepSeconds,
		},
		Reported: now.Add(-time.Duration(e.ReportAge * float64(time.Second))),
		Empty:    e.Running < emptyRunning && e.Waiting == 0 && e.OwnInFlight == 0,
		Models:   e.Models,
		Want:     want,
	}
}

// wantedModels returns the name@version of the models that an engine is configured to serve, sorted.
func wantedModels(models *config.Models, engineID string) []string {
	var assigned []string
	for _, e := range models.Engines {
		if e.ID == engineID {
			assigned = e.Models
		}
	}
	var want []string
	for _, m := range models.Models {
		if len(assigned) == 0 || slices.Contains(assigned, m.Name) {
			for _, version := range m.Versions() {
				want = append(want, m.Name+"@"+version)
			}
		}
	}
	slices.Sort(want)
	return want
}
