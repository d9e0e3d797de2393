package authority

import (
	"log/slog"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/member"
	"rhubarbpoint/peer"
	"rhubarbpoint/topo"
)

// Options are what a Holder and a Gate need. All but Logger, Metrics and Loads must be set.
type Options struct {
	Region    string
	Store     topo.Store
	Processes Processes
	View      member.View
	Peers     peer.Caller
	Engines   engine.Client
	// EngineConfigs returns the engines of the configuration in force, of all regions.
	EngineConfigs func() []config.Engine
	// LoadLimiter limits the orders that make engines fetch weights from the weight store. Default is no limit.
	LoadLimiter *rate.Limiter
	// Logger may be nil.
	Logger *slog.Logger
	// Metrics gets the counters. Default is a registry of its own.
	Metrics metrics.Registry
}

func (o Options) withDefaults() Options {
	if o.LoadLimiter == nil {
		o.LoadLimiter = rate.NewLimiter(rate.Inf, 1)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return o
}

// engine returns the configuration of an engine of this region.
func (o *Options) engine(id string) (config.Engine, bool) {
	for _, e := range o.EngineConfigs() {
		if e.ID == id && e.Region == o.Region {
			return e, true
		}
	}
	return config.Engine{}, false
}
