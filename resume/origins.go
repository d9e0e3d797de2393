package resume

import (
	"maps"
	"sync"
	"time"
)

// maxOrigins bounds the streams that are kept, at about 100 bytes each. Each is kept until its caller's deadline.
const maxOrigins = 50_000

// origin says at which version of which service a stream began.
type origin struct {
	service, version string
	// expires is the deadline of the caller, after which the stream is not taken up any more.
	expires time.Time
	// told is set once the homes have been told.
	told bool
}

// origins keeps the origins of streams by the IDs of the requests that brought their first events. It is safe for concurrent
// use.
type origins struct {
	mu   sync.Mutex
	byID map[string]origin
}

func (o *origins) put(id string, found origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.byID) < maxOrigins {
		o.byID[id] = found
	}
}

func (o *origins) find(now time.Time, id string) (origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found, known := o.byID[id]
	return found, known && now.Before(found.expires)
}

// anyOpen reports whether a stream of a version can still be taken up, of any service: the service of a stream that this instance
// was told of is not known.
func (o *origins) anyOpen(now time.Time, version string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, found := range o.byID {
		if found.version == version && now.Before(found.expires) {
			return true
		}
	}
	return false
}

// untold returns the origins of which the homes have not been told and need to be, and counts them as told.
func (o *origins) untold(now time.Time, needed func(service string) bool) map[string]origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.byID, func(_ string, found origin) bool { return !now.Before(found.expires) })
	untold := make(map[string]origin)
	for id, found := range o.byID {
		if !found.told && needed(found.service) {
			untold[id] = found
			found.told = true
			o.byID[id] = found
		}
	}
	return untold
}
