package daemon

import (
	"sync"
	"time"

	"rhubarbpoint/config"
	"rhubarbpoint/route"
)

// leavingTimeout is how long a replica of a plain service gets no new requests after it was reported as leaving. Such
// replicas report no start epoch, so that a replacement at the same address can only be assumed after some time.
const leavingTimeout = 2 * time.Minute

// upstreams passes what the membership learns to the engine table and records which replicas of plain services are
// leaving. It implements route.Sink and is safe for concurrent use.
type upstreams struct {
	*route.EngineTable

	mu           sync.Mutex
	services     map[string]bool
	leavingSince map[string]time.Time
}

var _ route.Sink = (*upstreams)(nil)

func newUpstreams(table *route.EngineTable) *upstreams {
	return &upstreams{EngineTable: table, services: make(map[string]bool), leavingSince: make(map[string]time.Time)}
}

// SetDocument implements route.Sink.
func (u *upstreams) SetDocument(doc *config.Document) {
	u.EngineTable.SetDocument(doc)
	u.mu.Lock()
	defer u.mu.Unlock()
	clear(u.services)
	for _, service := range doc.Orders.Services {
		for _, replica := range service.Upstreams {
			u.services[replica.ID] = true
		}
	}
}

// SetLeaving implements route.Sink.
func (u *upstreams) SetLeaving(id string, epochHash uint64) {
	u.mu.Lock()
	if u.services[id] {
		u.leavingSince[id] = time.Now()
	}
	u.mu.Unlock()
	u.EngineTable.SetLeaving(id, epochHash)
}

// leaving reports whether a replica of a plain service must get no new requests.
func (u *upstreams) leaving(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, found := u.leavingSince[id]
	if found && time.Since(at) > leavingTimeout {
		delete(u.leavingSince, id)
		return false
	}
	return found
}
