package duty

import (
	"log/slog"

	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/topo"
)

// Options are what an Elector depends on.
type Options struct {
	Store topo.Store
	// Name is the name of this instance, which is the holder's name in its terms.
	Name string
	// Candidate reports whether this instance may campaign for the lease. With few candidates, the calls to the store do
	// not grow with the instances. If nil, it may.
	Candidate func() bool
	// LinkMbps is the bandwidth of the link of this instance in Mbit/s, 0 if unknown. Of several candidates, one with a
	// large link is preferred.
	LinkMbps float64
	// Metrics gets the counters duty.campaigns, duty.prompt_campaigns (scheduled because the key was deleted), duty.campaign_failures (calls to the store that failed), duty.terms and
	// duty.losses. If nil, they are discarded.
	Metrics metrics.Registry
	Logger  *slog.Logger
}
