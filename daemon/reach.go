package daemon

import (
	"rhubarbpoint/forward"
	"rhubarbpoint/reach"
	"rhubarbpoint/retry"
)

// newReach follows the connections of the pool to replicas. Failures before the phase was known are forgotten at its end.
func newReach(r *routedInstance, health *retry.Health) *reach.Tracker {
	tracker := reach.New(reach.Options{
		Addresses: func() []string {
			var addresses []string
			for _, replica := range r.replicas.All() {
				if !replica.Draining {
					addresses = append(addresses, replica.Address)
				}
			}
			return addresses
		},
		OnReturn: health.Forget, Logger: r.logger, Metrics: r.metrics,
	})
	r.pool.OnDial = tracker.RecordDial
	return tracker
}

// newForward passes requests on to the live instances that are not suspected.
func newForward(r *routedInstance) *forward.Client {
	self := r.peers.member.Self()
	return forward.NewClient(forward.Options{
		Region: r.settings.Region, Open: r.peers.transport.OpenStream, Logger: r.logger, Metrics: r.metrics,
		Peers: func() []forward.Peer {
			var peers []forward.Peer
			for _, m := range r.peers.member.Live() {
				if id := m.GetId(); id != self && !r.peers.member.Suspected(id) {
					peers = append(peers, forward.Peer{ID: id, Region: m.GetRegion()})
				}
			}
			return peers
		},
	})
}
