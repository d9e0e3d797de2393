package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/config"
	"rhubarbpoint/discovery"
	"rhubarbpoint/engine"
	"rhubarbpoint/member"
	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/settings"
	"rhubarbpoint/upstream"
)

// tellWithin spreads over the instances who tells the others of a leaving replica: those that hear of it first from a peer
// have nothing to tell. It is a fraction of the time within which a leaving replica must get no new requests.
const tellWithin = 300 * time.Millisecond

// routedPeers connects the instances with each other, for those that the store does not reach: they learn of leaving
// replicas at once, and of newer routes with the next heartbeat.
type routedPeers struct {
	transport *peer.Transport
	member    *member.Service
	replicas  *upstream.Registry
}

func newRoutedPeers(s *settings.Settings, d *discovery.Watcher, replicas *upstream.Registry, registry metrics.Registry, logger *slog.Logger) *routedPeers {
	id := member.NewID(s.Instance)
	p := &routedPeers{replicas: replicas}
	p.transport = peer.New(peer.Options{
		Self: id, Logger: logger, Metrics: registry,
		Address: func(instance string) (string, bool) { return p.member.Address(instance) },
	})
	p.member = member.New(member.Options{
		ID: id, Region: s.Region, Zone: s.Zone, PeerAddress: s.PeerListen, OperatorAddress: s.OperatorListen, Seeds: s.Peers,
		Transport: p.transport, Sink: leavingSink{replicas}, Logger: logger, Metrics: registry,
		EncodedDocument: d.EncodeSnapshot, Version: d.Version,
		ApplyDocument: func(_ context.Context, _ int64, data []byte) error { return d.ApplySnapshot(time.Now(), data) },
	})
	p.member.Register(p.transport)
	return p
}

// leaving tells the peers of a draining replica, unless one of them tells of it first.
func (p *routedPeers) leaving(replica upstream.Replica) {
	time.AfterFunc(rand.N(tellWithin), func() { p.member.MarkUpstreamLeaving(replica.ID, uint64(replica.Born)) })
}

// leavingSink takes leaving replicas from peers. The hash of a start is the time of birth.
type leavingSink struct{ replicas *upstream.Registry }

func (leavingSink) SetDocument(*config.Document)               {}
func (leavingSink) UpdateLoad(time.Time, *peerpb.UpstreamLoad) {}
func (leavingSink) UpdateCache(string, *engine.CacheEvents)    {}
func (leavingSink) UpdateZone(time.Time, *peerpb.ZoneSummary)  {}

// SetLeaving implements route.Sink.
func (s leavingSink) SetLeaving(id string, born uint64) {
	s.replicas.MarkLeavingByID(time.Now(), id, int64(born))
}
