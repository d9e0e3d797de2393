package soak

import (
	"sync"
	"time"

	"rhubarbpoint/internal/faultproxy"
	"rhubarbpoint/internal/fleet"
)

// pauseGrace is the time after a pause in which orders are not checked, since they may have been sent before the pause.
const pauseGrace = 300 * time.Millisecond

// instance is an entry instance and the links through which it reaches the store and its peers. Only one fault at a
// time acts on its process.
type instance struct {
	cluster *cluster
	node    *fleet.Node

	mu    sync.Mutex
	links map[string]*faultproxy.Link // by ID of the target
	// processMu is held while a fault stops, pauses or starts the process.
	processMu sync.Mutex
	// stopping is true during a graceful stop, in which processMu keeps other faults away from the process.
	stopping bool
	pauses   []pause
	// disturbedAt is when a fault last began or ended that acts on the process or on its links.
	disturbedAt time.Time
	// faults is the number of faults other than cuts that act on the process or on its links, faultedAt when one of them last
	// began or ended.
	faults    int
	faultedAt time.Time
	// cutFrom and cutUntil bound the last cut from all replicas, with the time in which requests may still be forwarded.
	// cutUntil is zero during the cut.
	cutFrom, cutUntil time.Time
}

type pause struct{ from, to time.Time }

// link returns the address of the link from the instance to a process; the first call creates it.
func (i *instance) link(to, address string) (string, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if l := i.links[to]; l != nil {
		return l.Address(), nil
	}
	l, err := faultproxy.New(address)
	if err != nil {
		return "", err
	}
	i.links[to] = l
	return l.Address(), nil
}

func (i *instance) linkTo(to string) *faultproxy.Link {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.links[to]
}

func (i *instance) allLinks() []*faultproxy.Link {
	i.mu.Lock()
	defer i.mu.Unlock()
	var list []*faultproxy.Link
	for _, l := range i.links {
		list = append(list, l)
	}
	return list
}

func (i *instance) setStopping(v bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopping = v
}

func (i *instance) stoppingGracefully() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.stopping
}

// recordPause records a pause that begins now.
func (i *instance) recordPause(end time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pauses = append(i.pauses, pause{time.Now(), end})
	i.disturbedAt = end.Add(pauseGrace)
	i.faultedAt = i.disturbedAt
}

// disturb records that a fault begins that acts on the process or on its links. The returned function records its end.
func (i *instance) disturb() (end func()) {
	i.recordDisturbance()
	endFault := i.recordFault()
	return func() {
		i.recordDisturbance()
		endFault()
	}
}

// recordFault records that a fault begins while the service of the instance is not checked. The returned function records
// its end.
func (i *instance) recordFault() (end func()) {
	i.addFault(1)
	return func() { i.addFault(-1) }
}

func (i *instance) addFault(n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults += n
	if now := time.Now(); now.After(i.faultedAt) {
		i.faultedAt = now
	}
}

// faultySince reports whether a fault other than a cut has acted on the process or on its links since a time.
func (i *instance) faultySince(at time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults > 0 || !i.faultedAt.Before(at)
}

// beginCut records that the instance is cut off from all replicas.
func (i *instance) beginCut(at time.Time) {
	i.recordDisturbance()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cutFrom, i.cutUntil = at, time.Time{}
}

// endCut records the end of a cut.
func (i *instance) endCut() {
	i.recordDisturbance()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cutUntil = time.Now().Add(cutReturn)
}

// mayForward reports whether requests of the instance may come to replicas through another one.
func (i *instance) mayForward() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.cutFrom.IsZero() && (i.cutUntil.IsZero() || time.Now().Before(i.cutUntil))
}

// recordDisturbance records that a fault begins or ends that acts on the process or on its links.
func (i *instance) recordDisturbance() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now := time.Now(); now.After(i.disturbedAt) {
		i.disturbedAt = now
	}
}

// disturbedSince reports whether a fault has acted on the process or on its links since a time.
func (i *instance) disturbedSince(at time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.disturbedAt.Before(at)
}

// recentlyPaused reports whether the instance was paused at a time or within pauseGrace before it.
func (i *instance) recentlyPaused(at time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, p := range i.pauses {
		if !at.Before(p.from) && at.Before(p.to.Add(pauseGrace)) {
			return true
		}
	}
	return false
}
