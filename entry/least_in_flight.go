package entry

import (
	"slices"
	"sync"
	"time"

	"rhubarbpoint/config"
	"rhubarbpoint/route"
)

// LeastInFlight chooses the engine with the fewest requests in flight from this instance, without regard to load
// reports and prefix caches. It is meant for a single instance and for tests. It is safe for concurrent use.
type LeastInFlight struct {
	doc func() *config.Document

	mu       sync.Mutex
	inFlight map[string]int
}

var _ route.Router = (*LeastInFlight)(nil)

// NewLeastInFlight returns a router for the engines of the configuration in force.
func NewLeastInFlight(doc func() *config.Document) *LeastInFlight {
	return &LeastInFlight{doc: doc, inFlight: make(map[string]int)}
}

// Pick implements route.Router.
func (l *LeastInFlight) Pick(_ time.Time, req *route.Request) (route.Choice, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *config.Engine
	engines := l.doc().Models.Engines
	for i := range engines {
		e := &engines[i]
		if req.Excluded[e.ID] || (len(e.Models) > 0 && !slices.Contains(e.Models, req.Model)) {
			continue
		}
		if best == nil || l.rank(e, req) < l.rank(best, req) {
			best = e
		}
	}
	if best == nil {
		return route.Choice{}, route.ErrNoEngine
	}
	return route.Choice{EngineID: best.ID, Address: best.Address}, nil
}

// rank orders the engines by requests in flight, and engines that the request has tried behind all others.
func (l *LeastInFlight) rank(e *config.Engine, req *route.Request) int {
	const triedPenalty = 1 << 30
	if req.Deprioritized[e.ID] {
		return triedPenalty + l.inFlight[e.ID]
	}
	return l.inFlight[e.ID]
}

// Sent implements route.Router.
func (l *LeastInFlight) Sent(_ time.Time, choice route.Choice, _ *route.Request) { l.add(choice, 1) }

// Finished implements route.Router.
func (l *LeastInFlight) Finished(_ time.Time, choice route.Choice, _ *route.Request, _ route.Outcome) {
	l.add(choice, -1)
}

func (l *LeastInFlight) add(choice route.Choice, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[choice.EngineID] += n
}
