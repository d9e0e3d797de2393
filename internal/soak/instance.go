package soak

import (
	"sync"
	"time"

	"rhubarbpoint/internal/faultproxy"
	"rhubarbpoint/internal/fleet"
)

// thawTime is how long after a pause orders do not count, since they were on their way before.
const thawTime = 300 * time.Millisecond

// instance is an entry instance and the links by which it reaches the store and its peers. One fault at a time decides about
// its process.
type instance struct {
	site *site
	node *fleet.Node

	mu    sync.Mutex
	links map[string]*faultproxy.Link // by what they lead to
	// process is taken while a fault stops, pauses or starts the process.
	process sync.Mutex
	// inOrder says that a stop in order is going on and that nothing else has happened to the process since its start.
	inOrder bool
	// thawed lists when pauses have ended.
	pauses []pause
}

type pause struct{ from, to time.Time }

// link returns the address of the link from an instance to a process, which it makes at the first call.
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

func (i *instance) setInOrder(v bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.inOrder = v
}

func (i *instance) stoppingInOrder() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.inOrder
}

// pausedUntil notes a pause that begins now.
func (i *instance) pausedUntil(end time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pauses = append(i.pauses, pause{time.Now(), end})
}

// thawed says whether the instance was paused until shortly before.
func (i *instance) thawed(at time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, p := range i.pauses {
		if !at.Before(p.from) && at.Before(p.to.Add(thawTime)) {
			return true
		}
	}
	return false
}
