package discovery

import (
	"sync"
	"time"

	"rhubarbpoint/internal/boottime"
)

// confirmations keeps the latest moment at which the store certainly still had the routes that are in force here. It is
// safe for concurrent use. Methods of a nil *confirmations do nothing.
type confirmations struct {
	clock boottime.Clock

	mu     sync.Mutex
	known  bool
	latest boottime.Instant
	// proven is the latest moment that any response has confirmed, also one that does not count because differs is set. The
	// calls follow it, so that routes that cannot be decoded do not cause calls without a pause.
	proven    boottime.Instant
	anyProven bool
	// differs is set while the store is known to hold other routes than those in force, or none: routes that cannot be
	// decoded, or of a lower version. Nothing is confirmed then.
	differs bool
}

func (c *confirmations) now() boottime.Instant {
	if c == nil {
		return 0
	}
	return c.clock()
}

// setDiffers records whether the store holds other routes than those in force.
func (c *confirmations) setDiffers(differs bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.differs = differs
}

// confirm records a moment that a response confirms, and reports whether it counts. All changes of the response must have
// been applied.
func (c *confirmations) confirm(at boottime.Instant) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.anyProven || at > c.proven {
		c.anyProven, c.proven = true, at
	}
	if c.differs {
		return false
	}
	if !c.known || at > c.latest {
		c.known, c.latest = true, at
	}
	return true
}

// confirmOwn is confirm for a response of the store to this instance itself, which may pass it on.
func (c *confirmations) confirmOwn(f *feed, at boottime.Instant) {
	if c.confirm(at) {
		f.confirmStore(at)
	}
}

// since returns the age of the newest confirmation, or false if there is none.
func (c *confirmations) since(now boottime.Instant) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.latest), c.known
}

// provenAge returns the time since the latest moment that any response has confirmed; without one, it is maxKnownAge.
func (c *confirmations) provenAge(now boottime.Instant) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.anyProven {
		return maxKnownAge
	}
	return min(now.Sub(c.proven), maxKnownAge)
}

// knownAge returns the age for a call to another instance, or 0 if no confirmation is needed.
func (c *confirmations) knownAge(now boottime.Instant) time.Duration {
	if c == nil {
		return 0
	}
	return max(c.provenAge(now), time.Millisecond)
}
