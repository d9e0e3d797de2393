package member

import (
	"context"
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/route"
	"rhubarbpoint/topo"
)

// Times and limits of the membership.
const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = 2 * time.Second
	// SuspectAfter and DropAfter are the times without a sign of life after which a member is suspected and dropped.
	SuspectAfter = 5 * time.Second
	DropAfter    = 15 * time.Second
	// pauseGap is the time between two heartbeats from which this process itself must have been paused.
	pauseGap = 3 * time.Second
	// maxHeartbeatBytes bounds the records of a heartbeat to one peer.
	maxHeartbeatBytes = 2048
	// maxSnapshotBytes bounds the records of an exchange of whole tables, which must fit into one frame.
	maxSnapshotBytes = 1 << 20
	// maxRepairBytes bounds the load records in a heartbeat to the random peer, which should have them already.
	maxRepairBytes = 256
	// directZoneSize is the number of members from which a zone has direct links to every other zone at any time.
	directZoneSize = 16
	// recordWindow is how long a record counts as news; later it has reached everybody or comes with a snapshot.
	recordWindow = 10 * time.Second
	// randomPeerTime is how long the randomly chosen peers are kept, so that not every heartbeat dials a session.
	randomPeerTime    = 30 * time.Second
	directoryInterval = 10 * time.Second
	// directoryReaders instances of each zone read the instance list at directoryInterval, the others rarely.
	directoryReaders      = 2
	directoryRareInterval = 5 * time.Minute
	probeInterval         = 5 * time.Second
	// probeMemory is how long the address of a dropped member is tried again: a region can be cut off for an hour.
	probeMemory    = 2 * time.Hour
	maxDropped     = 1024
	maxSuspicions  = 4096
	recordLifetime = time.Hour
	// foreignBeatStep is how far the beat of a member of another zone advances before it is sent again. With 4 the
	// sign of life is refreshed well within DropAfter at a quarter of the bytes.
	foreignBeatStep  = 4
	pollInterval     = time.Second
	pollTimeout      = 2 * time.Second
	pollOverlap      = 2 * time.Second
	maxPushes        = 64
	maxWant          = 16
	maxLacking       = 64
	fetchTimeout     = 4 * time.Second
	summaryRefresh   = 4 * time.Second
	ringPeersAllUpTo = 5
)

// Transport is the part of peer.Transport that the membership needs.
type Transport interface {
	Call(ctx context.Context, instance string, req *peerpb.Request) (*peerpb.Response, error)
	CallAddress(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Response, error)
	Connected() []string
}

// Options configure a Service. Functions must not call back into the Service while they run, except in new goroutines.
type Options struct {
	// ID is the ID of this process, see NewID.
	ID              string
	Region, Zone    string
	PeerAddress     string
	OperatorAddress string
	// Seeds are peer addresses to ask while the instance list is not available.
	Seeds []string
	// Directory may be nil. The address of an instance of kind topo.KindEntry is its peer address.
	Directory topo.Directory
	Transport Transport
	// Engines polls load reports; nil means that this process polls none.
	Engines engine.Client
	// Sink takes what is learned of upstreams. It may be nil. It is called with the lock of the membership held.
	Sink route.Sink
	// Document returns the document in force, or nil.
	Document func() *config.Document
	// EncodedDocument returns the version in force and its encoded document, for peers; version 0 means none.
	EncodedDocument func() (version int64, document []byte)
	// Version returns the version in force alone. Every heartbeat states it, and the document can be large; nil means that
	// of Encoded.
	Version func() int64
	// ApplyDocument hands over a document of a higher version that a peer had.
	ApplyDocument func(ctx context.Context, version int64, document []byte) error
	// SetPlanned takes the time until which an upstream gets no new work because of a planned change; it may be nil.
	SetPlanned func(now time.Time, upstream string, until time.Time)
	// MergeSuspicion takes a suspicion that another instance reported.
	MergeSuspicion func(*peerpb.Suspicion)
	Logger         *slog.Logger
	Metrics        metrics.Registry
}

func (o Options) withDefaults() Options {
	if o.Document == nil {
		o.Document = func() *config.Document { return nil }
	}
	if o.EncodedDocument == nil {
		o.EncodedDocument = func() (int64, []byte) { return 0, nil }
	}
	if o.Version == nil {
		encoded := o.EncodedDocument
		o.Version = func() int64 {
			version, _ := encoded()
			return version
		}
	}
	if o.ApplyDocument == nil {
		o.ApplyDocument = func(context.Context, int64, []byte) error { return nil }
	}
	if o.SetPlanned == nil {
		o.SetPlanned = func(time.Time, string, time.Time) {}
	}
	if o.MergeSuspicion == nil {
		o.MergeSuspicion = func(*peerpb.Suspicion) {}
	}
	if o.Sink == nil {
		o.Sink = noSink{}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return o
}
