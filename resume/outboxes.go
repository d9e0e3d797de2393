package resume

import (
	"context"
	"sync"
	"time"

	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
)

const (
	// maxOutbox bounds the origins that wait for a call to one peer; further ones are dropped.
	maxOutbox = 1000
	// tellTimeout bounds one call. A peer that does not respond by then is probably gone.
	tellTimeout = time.Second
	// maxTTL bounds the time that an origin is kept, however long a caller says that it waits.
	maxTTL = time.Hour
)

// outboxes tell peers of origins: at once if no call to the peer is in flight, otherwise with the next one. They are safe for
// concurrent use.
type outboxes struct {
	peers peer.Client

	mu      sync.Mutex
	waiting map[string]map[string]origin // by peer and stream; an entry without streams is a call in flight
}

func (o *outboxes) add(peer, id string, found origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	waiting, sending := o.waiting[peer]
	if !sending {
		waiting = make(map[string]origin)
		if o.waiting == nil {
			o.waiting = make(map[string]map[string]origin)
		}
		o.waiting[peer] = waiting
		go o.send(peer)
	}
	if len(waiting) < maxOutbox {
		waiting[id] = found
	}
}

// send calls a peer until nothing waits for it.
func (o *outboxes) send(peer string) {
	for {
		o.mu.Lock()
		batch := o.waiting[peer]
		if len(batch) == 0 {
			delete(o.waiting, peer)
			o.mu.Unlock()
			return
		}
		o.waiting[peer] = make(map[string]origin)
		o.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		// A peer that is not told is no reason to wait: the others of the zone know.
		_, _ = o.peers.Call(ctx, peer, &peerpb.Request{Call: &peerpb.Request_PushOrigins{PushOrigins: encode(time.Now(), batch)}})
		cancel()
	}
}

func encode(now time.Time, batch map[string]origin) *peerpb.PushOrigins {
	push := &peerpb.PushOrigins{}
	index := make(map[string]uint32)
	for id, found := range batch {
		if _, known := index[found.version]; !known {
			index[found.version] = uint32(len(push.Versions))
			push.Versions = append(push.Versions, found.version)
		}
		push.Origins = append(push.Origins, &peerpb.StreamOrigin{Stream: id, Version: index[found.version], TtlMillis: millis(found.expires.Sub(now))})
	}
	return push
}
