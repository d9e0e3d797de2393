package resume

import (
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/internal/boottime"
	"rhubarbpoint/peer"
	"rhubarbpoint/topo"
	"rhubarbpoint/upstream"
)

// Options configure a Service.
type Options struct {
	Store    topo.Store
	Replicas *upstream.Registry
	// Peers calls other instances.
	Peers peer.Client
	// Homes returns the instances that are told of a stream and asked for it, the preferred ones first: those of this zone and
	// those of the others. All instances of a zone should return the same ones.
	Homes func(stream string) (zone, others []string)
	// Writes reports whether this instance writes the record of versions. With few writers, the calls to the store do not
	// grow with the number of instances.
	Writes func() bool
	// HeardAge returns the time since this instance last heard from the store, or false if it never has. It defaults to never.
	HeardAge func() (time.Duration, bool)
	// InTouch reports whether this instance follows the store, so that it learns of changes within a few seconds. It defaults
	// to always.
	InTouch func() bool
	// Clock defaults to boottime.Now.
	Clock   boottime.Clock
	Metrics metrics.Registry
	Logger  *slog.Logger
}
