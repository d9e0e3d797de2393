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

// Options are the dependencies and settings of a Holder and a Gate. Logger, Metrics and LoadLimiter are
// optional.
type Options struct {
	Region    string
	Store     topo.Store
	Processes Processes
	View      member.View
	Peers     peer.Client
	Engines   engine.Client
	// EngineConfigs returns the engines of all regions in the configuration in force.
	EngineConfigs func() []config.Engine
	// LoadLimiter limits the rate of orders that make engines fetch weights from the weight store. Default is no limit.
	LoadLimiter *rate.Limiter
	// Logger gets the log events. It may be nil.
	Logger *slog.Logger
	// Metrics registers the counters. Default is a new registry.
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
