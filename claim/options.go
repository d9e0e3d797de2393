package claim

import (
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/member"
	"rhubarbpoint/peer"
	"rhubarbpoint/topo"
)

// Options are what a Claimer needs. Store, View and Peers must be set.
type Options struct {
	Store topo.Store
	View  member.View
	Peers peer.Caller
	// Now gives the time for the window of keys. Default time.Now.
	Now func() time.Time
	// Logger may be nil.
	Logger *slog.Logger
	// Metrics gets the counters. Default is a registry of its own.
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
