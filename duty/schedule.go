package duty

import (
	"math/rand/v2"
	"time"
)

const (
	// recheckInterval is the time after which a campaign is made although the watch has not shown that the key was deleted,
	// in case the store did not report it.
	recheckInterval = time.Minute
	// maxLinkDelay is the largest additional delay of the smallest links. Half of it is above the random part of
	// promptDelay, so that an instance with a large link wins if there is one. If there is none, it adds a third to
	// takeoverDelay.
	maxLinkDelay = 2 * time.Second
	// smallLinkMbps is the bandwidth of the smallest instances.
	smallLinkMbps = 10.0
)

// schedule decides when an instance campaigns. It bounds the load on the store when many instances need the lease at
// once: their first campaigns are spread over campaignJitter, and an instance that does not get the lease makes one
// attempt in about leaseTTL. While a duty other than StagesDuty needs the lease, which is always the case where there is
// one, what the watch of the store shows saves the attempts that would fail and brings forward the one that can succeed.
type schedule struct {
	needed bool
	// watched is set while a duty other than StagesDuty needs the lease.
	watched bool
	next    time.Time // earliest time of the next campaign while the lease is needed
	// prompt is set if next was determined by the deletion of the key, and not by the last attempt.
	prompt bool
	// heldUntil is the time until which the key counts as existing, because the watch has shown it; zero if it has not.
	heldUntil time.Time
}

// update returns the schedule after the need for the lease was determined.
func (s schedule) update(now time.Time, needed, watched bool, delay time.Duration) schedule {
	if needed && !s.needed {
		s.next = now.Add(delay)
	}
	s.needed, s.watched = needed, watched
	return s
}

// observed returns the schedule after the watch has shown whether the key exists. If it was deleted, the instance
// campaigns after the delay.
func (s schedule) observed(now time.Time, exists bool, delay time.Duration) schedule {
	if exists {
		s.heldUntil, s.prompt = now.Add(recheckInterval+delay), false
		return s
	}
	s.heldUntil = time.Time{}
	if s.watched {
		s.next, s.prompt = now.Add(delay), true
	}
	return s
}

// due reports whether an instance without the lease campaigns now.
func (s schedule) due(now time.Time) bool {
	return s.needed && !now.Before(s.next) && !(s.watched && now.Before(s.heldUntil))
}

// campaigned returns the schedule after a campaign that began at now. If the key was known to exist, it counts as
// existing for another recheckInterval; the watch shows its deletion.
func (s schedule) campaigned(now time.Time, jitter time.Duration) schedule {
	s.next, s.prompt = now.Add(leaseTTL+jitter), false
	if !s.heldUntil.IsZero() {
		s.heldUntil = now.Add(recheckInterval + jitter)
	}
	return s
}

// pause returns the time until the next check, which is checkInterval unless a prompt campaign is due before.
func (s schedule) pause(now time.Time) time.Duration {
	if wait := s.next.Sub(now); s.prompt && wait > 0 {
		return min(wait, checkInterval)
	}
	return checkInterval
}

// campaignJitter returns a random delay that spreads the campaigns of instances that need the lease at the same time.
func campaignJitter() time.Duration { return 500*time.Millisecond + rand.N(2*time.Second) }

// promptDelay returns a random delay between the deletion of the key and a campaign. The first candidate to write the
// key shows up in the watches of the others, which go on discovery's pause of 250 ms after the deletion; they do not call
// then. The spread is several times the duration of a campaign, so that few call before.
func promptDelay() time.Duration { return 250*time.Millisecond + rand.N(500*time.Millisecond) }

// linkDelay returns an additional delay of an instance by the bandwidth of its link, 0 if that is unknown. A burst of
// requests fills a small link for seconds. If such an instance holds the lease, its renewals time out, and nothing is
// scaled or reported until a successor acts, so instances with larger links campaign first. The delay is inversely
// proportional to the bandwidth: with 10 Mbit/s and less it is up to maxLinkDelay, with 200 Mbit/s up to 0.1 s. Its random
// part of a half spreads instances with equal small links, none of which a larger one precedes.
func linkDelay(mbps float64) time.Duration {
	if !(mbps > 0) {
		return 0
	}
	most := float64(maxLinkDelay) * min(1, smallLinkMbps/mbps)
	return time.Duration(most * (1 - rand.Float64()/2))
}
