package entry

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/admit"
	"rhubarbpoint/claim"
	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/memory"
	"rhubarbpoint/retry"
	"rhubarbpoint/route"
	"rhubarbpoint/suspect"
)

// Options configure a server. Engines and Document must be set; the other fields are optional.
type Options struct {
	Engines engine.Client
	// Document returns the configuration in force, or nil before there is one.
	Document func() *config.Document
	// Region is preferred among the replicas of plain services.
	Region string
	// Router defaults to LeastInFlight.
	Router route.Router
	// Admitter defaults to one that admits all requests.
	Admitter admit.Admitter
	// Orders runs non-idempotent requests to plain services; without it they are refused.
	Orders claim.Runner
	// Suspects, Segments, Health and Budget default to new ones.
	Suspects *suspect.Table
	Segments *suspect.SegmentTable
	Health   *retry.Health
	Budget   *retry.Budget
	// OnLeaving is called with an engine that refused a request because it is leaving. It may be called concurrently.
	OnLeaving func(engineID string, epochHash uint64)
	// Leaving reports whether a replica of a plain service is leaving and gets no new requests. Default: none is.
	Leaving func(upstreamID string) bool
	// Recorder, if set, gets a record of each chat completion.
	Recorder Recorder
	// Routing, if set, makes the server forward requests by configured routes, instead of serving the models and plain
	// services of the configuration document.
	Routing *Routing
	// Memory counts and bounds what is held for requests. Default: an account without bounds.
	Memory *memory.Account
	// Dial opens connections to plain services. Default: TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Metrics defaults to a new registry.
	Metrics metrics.Registry
	Logger  *slog.Logger
}

func (o Options) withDefaults() Options {
	if o.Router == nil {
		o.Router = NewLeastInFlight(o.Document)
	}
	if o.Admitter == nil {
		o.Admitter = admitAll{}
	}
	if o.Suspects == nil {
		o.Suspects = suspect.New(suspect.Options{Self: "entry", Logger: o.Logger})
	}
	if o.Segments == nil {
		o.Segments = suspect.NewSegmentTable(suspect.SegmentOptions{Logger: o.Logger})
	}
	if o.Health == nil {
		o.Health = retry.NewHealth()
	}
	if o.Budget == nil {
		o.Budget = retry.NewBudget()
	}
	if o.OnLeaving == nil {
		o.OnLeaving = func(string, uint64) {}
	}
	if o.Leaving == nil {
		o.Leaving = func(string) bool { return false }
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Memory == nil {
		o.Memory = memory.NewAccount(memory.Bounds{})
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return o
}

// admitAll admits every request.
type admitAll struct{}

func (admitAll) Admit(time.Time, *admit.Request) (func(time.Time), error) {
	return func(time.Time) {}, nil
}
