package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/member"
	"rhubarbpoint/peer/peerpb"
)

const (
	// watchersPerZone is the number of instances of a zone that watch the configuration in the store: two, so that the
	// failure of one does not delay a change by the peers' timeout.
	watchersPerZone = 2
	// fetchTimeout bounds the request to one peer for its document.
	fetchTimeout = 4 * time.Second
)

// watches reports whether this instance is one of its zone's watchers, by rendezvous hashing over the live members.
func (i *instance) watches() bool {
	return member.SelectedByHash(
		i.member.Live(), i.settings.Region, i.settings.Zone, i.member.Self(), "watch", watchersPerZone)
}

// fetchFromPeers returns the document of a peer: a live member, or a peer from the settings while no member is known.
func (i *instance) fetchFromPeers(ctx context.Context) ([]byte, error) {
	var err error = errors.New("daemon: no peer has a document")
	for _, address := range i.peerAddresses() {
		call, cancel := context.WithTimeout(ctx, fetchTimeout)
		resp, callErr := i.transport.CallAddress(call, address, &peerpb.Request{
			From: i.member.Self(), Call: &peerpb.Request_FetchConfig{FetchConfig: &peerpb.FetchConfig{}},
		})
		cancel()
		if callErr != nil {
			err = errors.CombineErrors(err, callErr)
			continue
		}
		if document := resp.GetConfig().GetDocument(); len(document) > 0 {
			return document, nil
		}
	}
	return nil, err
}

func (i *instance) peerAddresses() []string {
	var addresses []string
	for _, m := range i.member.Live() {
		if m.GetId() != i.member.Self() {
			addresses = append(addresses, m.GetPeerAddress())
		}
	}
	if len(addresses) == 0 {
		addresses = append(addresses, i.settings.Peers...)
	}
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return addresses
}
