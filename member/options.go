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
	// SuspectAfter and DropAfter are the times without a new beat after which a member of the own zone is suspected and
	// any member is dropped.
	SuspectAfter = 5 * time.Second
	DropAfter    = 15 * time.Second
	// pauseThreshold is the time between two ticks above which this process itself must have been paused.
	pauseThreshold = 3 * time.Second
	// maxBeatAge is the time since a beat arrived from which on it is no longer sent. Ticks are less than pauseThreshold
	// apart, so each beat is sent in at least one.
	maxBeatAge = pauseThreshold
	// maxHeartbeatBytes bounds the records of a heartbeat to one peer.
	maxHeartbeatBytes = 2048
	// maxSnapshotBytes bounds a snapshot of the record table, which must fit into one frame.
	maxSnapshotBytes = 1 << 20
	// maxRepairBytes bounds the load records in a heartbeat to the random peer of the own zone, which should have
	// received them through the ring already.
	maxRepairBytes = 256
	// minDirectZoneSize is the number of members from which on a zone has sessions to every other zone at any time.
	minDirectZoneSize = 16
	// sendWindow is how long after its update a record is sent in heartbeats. By then it has reached every instance,
	// except those that get it in a snapshot.
	sendWindow = 10 * time.Second
	// randomPeerTime is how long the randomly chosen peers are kept, so that not every heartbeat dials a session.
	randomPeerTime    = 30 * time.Second
	directoryInterval = 10 * time.Second
	// directoryReaders is the number of instances of each zone that read the instance list every directoryInterval. The
	// other instances read it every directoryRareInterval.
	directoryReaders      = 2
	directoryRareInterval = 5 * time.Minute
	probeInterval         = 5 * time.Second
	// droppedAddressLifetime is how long the address of a dropped member is probed: a region can be cut off for an hour.
	droppedAddressLifetime = 2 * time.Hour
	maxDroppedAddresses    = 1024
	maxSuspicions          = 4096
	recordLifetime         = time.Hour
	// otherZoneBeatStep is how far the beat of a member of another zone must advance before it is sent again. A step of 4
	// still renews the beat well within DropAfter, for a quarter of the bytes.
	otherZoneBeatStep = 4
	// suspectOtherZoneAfter is SuspectAfter for members of other zones, whose beats arrive otherZoneBeatStep at a time.
	suspectOtherZoneAfter = SuspectAfter + (otherZoneBeatStep-1)*heartbeatInterval

	pollInterval        = time.Second
	pollTimeout         = 2 * time.Second
	pollOverlap         = 2 * time.Second
	maxConcurrentPushes = 64
	maxWant             = 16
	maxLacking          = 64
	fetchTimeout        = 4 * time.Second
	summaryRefresh      = 4 * time.Second
	// maxFullMeshZone is the size of the largest zone in which every member is a ring peer of every other.
	maxFullMeshZone = 5
)

// Transport is the part of peer.Transport that the membership uses.
type Transport interface {
	Call(ctx context.Context, instance string, req *peerpb.Request) (*peerpb.Response, error)
	CallAddress(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Response, error)
	Connected() []string
}

// Options configure a Service. The functions and the Sink must not call the Service, except in a new goroutine.
type Options struct {
	// ID identifies this process, see NewID.
	ID              string
	Region, Zone    string
	PeerAddress     string
	OperatorAddress string
	// Seeds are peer addresses to probe besides those of the instance list, which may be unavailable.
	Seeds []string
	// Directory may be nil. The address of an instance of kind topo.KindEntry is its peer address.
	Directory topo.Directory
	Transport Transport
	// Engines polls the engines' load reports; if nil, this process polls no engine.
	Engines engine.Client
	// Sink gets the updates of upstreams. It may be nil. Its methods except UpdateCache are called with the
	// Service's lock held.
	Sink route.Sink
	// Document returns the document in force, or nil.
	Document func() *config.Document
	// EncodedDocument returns the version in force and the encoded document for peers; version 0 means that there is none.
	EncodedDocument func() (version int64, document []byte)
	// Version returns only the version in force: every heartbeat states it, and a large document should not be encoded for
	// that. If nil, EncodedDocument is used.
	Version func() int64
	// ApplyDocument applies a document of a higher version that was fetched from a peer.
	ApplyDocument func(ctx context.Context, version int64, document []byte) error
	// SetPlanned sets the time until which an upstream gets no new work because of a planned change; a zero time ends the
	// exclusion. It may be nil.
	SetPlanned func(now time.Time, upstream string, until time.Time)
	// MergeSuspicion merges what another instance published about a suspect request. It may be nil.
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
