package claim

import (
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/member"
	"rhubarbpoint/peer"
	"rhubarbpoint/topo"
)

// Options configures a Claimer. Store, View and Peers must be set.
type Options struct {
	Store topo.Store
	View  member.View
	Peers peer.Client
	// Now returns the time against which the timestamps of keys are checked. Default time.Now.
	Now func() time.Time
	// Logger may be nil.
	Logger *slog.Logger
	// Metrics is where the metrics are registered. Default is a private registry.
	Metrics metrics.Registry
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return o
}
