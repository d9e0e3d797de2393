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
	"rhubarbpoint/place"
	"rhubarbpoint/settings"
	"rhubarbpoint/upstream"
)

// maxAnnounceDelay is the longest random delay before an instance announces a leaving replica to its peers: an instance
// that has received it from a peer by then does not announce it. It is a fraction of the time after which a leaving
// replica must get no new requests.
const maxAnnounceDelay = 300 * time.Millisecond

// routedPeers connects the instances with each other, so that those that cannot reach the store learn of leaving
// replicas at once and of newer routes with the next heartbeat.
type routedPeers struct {
	transport *peer.Transport
	member    *member.Service
	replicas  *upstream.Registry
}

// newRoutedPeers also completes the relay, which the watcher was made with.
func newRoutedPeers(s *settings.Settings, d *discovery.Watcher, relay *storeRelay, replicas *upstream.Registry, registry metrics.Registry, logger *slog.Logger) *routedPeers {
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
	relay.transport, relay.member, relay.watcher = p.transport, p.member, d
	p.transport.Handle(peer.KindWatchStore, relay.handle)
	return p
}

// announceLeaving announces to the peers that a draining replica is leaving, unless one of them does so first.
func (p *routedPeers) announceLeaving(replica upstream.Replica) {
	time.AfterFunc(rand.N(maxAnnounceDelay), func() { p.member.MarkUpstreamLeaving(replica.ID, uint64(replica.Born)) })
}

const (
	// zoneHomes and otherHomes are the numbers of instances of this zone, and of each other zone, that may know where a stream
	// began. A stream is mostly taken up in the zone where it began.
	zoneHomes  = 6
	otherHomes = 3
)

// homes returns the instances that may know where a stream began, those of this zone and those of others.
func (p *routedPeers) homes(stream string) (zone, others []string) {
	byZone := make(map[string][]string)
	own := ""
	for _, m := range p.member.Live() {
		name := m.GetRegion() + "/" + m.GetZone()
		switch id := m.GetId(); {
		case id == p.member.Self():
			own = name
		case !p.member.Suspected(id):
			byZone[name] = append(byZone[name], id)
		}
	}
	for name, ids := range byZone {
		if name == own {
			zone = highestHashes(ids, stream, zoneHomes)
		} else {
			others = append(others, highestHashes(ids, stream, otherHomes)...)
		}
	}
	return zone, others
}

// instances returns the live instances, this one included.
func (p *routedPeers) instances() []place.Instance {
	var all []place.Instance
	for _, m := range p.member.Live() {
		all = append(all, place.Instance{ID: m.GetId(), Region: m.GetRegion(), Zone: m.GetZone()})
	}
	return all
}

// leavingSink marks the replicas that peers report as leaving. The epoch hash of a replica is its start time (Born).
type leavingSink struct{ replicas *upstream.Registry }

func (leavingSink) SetDocument(*config.Document)               {}
func (leavingSink) UpdateLoad(time.Time, *peerpb.UpstreamLoad) {}
func (leavingSink) UpdateCache(string, *engine.CacheEvents)    {}
func (leavingSink) UpdateZone(time.Time, *peerpb.ZoneSummary)  {}

// SetLeaving implements route.Sink.
func (s leavingSink) SetLeaving(id string, born uint64) {
	s.replicas.MarkLeavingByID(time.Now(), id, int64(born))
}
