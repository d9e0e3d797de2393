package forward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// isolatedTime is how long an instance that reaches no replicas gets no requests, avoidTime one that failed otherwise and
	// unableTime one of a version that cannot serve them.
	isolatedTime = 1500 * time.Millisecond
	avoidTime    = time.Second
	unableTime   = 10 * time.Second
	// suspendTime is how long nothing is forwarded after all instances that were asked reached no replicas.
	suspendTime = 500 * time.Millisecond
	// suspendAfter is the number of instances that must have said so; all of them if there are fewer.
	suspendAfter = 3
)

// peers remembers which instances cannot take forwarded requests. It is safe for concurrent use.
type peers struct {
	mu sync.Mutex
	// avoided holds the times until which instances are avoided, isolated those of them that reach no replicas.
	avoided        map[string]time.Time
	isolated       map[string]bool
	suspendedUntil time.Time
}

func newPeers() *peers {
	return &peers{avoided: make(map[string]time.Time), isolated: make(map[string]bool)}
}

// order returns the instances to try, those of the region first, each group at random. It returns none while forwarding is
// suspended.
func (p *peers) order(now time.Time, all []Peer, region string) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.suspendedUntil) {
		return nil
	}
	maps.DeleteFunc(p.avoided, func(_ string, until time.Time) bool { return !now.Before(until) })
	usable := slices.DeleteFunc(slices.Clone(all), func(peer Peer) bool {
		_, avoided := p.avoided[peer.ID]
		return avoided
	})
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	slices.SortStableFunc(usable, func(a, b Peer) int { return distance(a, region) - distance(b, region) })
	return usable
}

func distance(peer Peer, region string) int {
	if peer.Region == region {
		return 0
	}
	return 1
}

// avoid keeps an instance from being used for a time.
func (p *peers) avoid(now time.Time, id string, d time.Duration, isolated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoided[id] = now.Add(d)
	if isolated {
		p.isolated[id] = true
	} else {
		delete(p.isolated, id)
	}
}

// suspend suspends forwarding if no instance is left to ask and most of them reach no replicas. It reports whether it did.
func (p *peers) suspend(now time.Time, all []Peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.suspendedUntil) {
		return false
	}
	isolated := 0
	for _, peer := range all {
		if until, avoided := p.avoided[peer.ID]; !avoided || !now.Before(until) {
			return false // it can be asked
		}
		if p.isolated[peer.ID] {
			isolated++
		}
	}
	if isolated < min(suspendAfter, len(all)) {
		return false
	}
	p.suspendedUntil = now.Add(suspendTime)
	return true
}
