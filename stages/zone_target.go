package stages

import "time"

// settleTime is how long a zone whose number of replicas fell gets no orders. Reclaimed preemptible replicas cannot be
// replaced for about 8 s, and crashed ones return within it; until then every division of the rest is soon wrong.
const settleTime = 10 * time.Second

// zoneTarget is the number of decode replicas that the demand asked for in a zone, and how the number of the zone's
// replicas changed lately. Its zero value is that of a zone that has not been seen.
type zoneTarget struct {
	want     int
	wantedAt time.Time
	replicas int
	fellAt   time.Time
}

// see returns the target after a look at the zone. present includes replicas that are changing their stage.
func (t zoneTarget) see(now time.Time, present int) zoneTarget {
	if present < t.replicas {
		t.fellAt = now
	}
	t.replicas = present
	return t
}

// settled reports whether the number of replicas has not fallen lately.
func (t zoneTarget) settled(now time.Time) bool {
	return t.fellAt.IsZero() || now.Sub(t.fellAt) >= settleTime
}

// follow returns the target for a zone that wants a number of decode replicas now, and the bounds for it. It answers
// zones whose numbers of replicas change often: the target changes at most once in minDivisionInterval, and until it may
// change again, only replicas outside both the old and the new target change.
func (t zoneTarget) follow(now time.Time, want int) (zoneTarget, bounds) {
	if t.wantedAt.IsZero() || want != t.want && now.Sub(t.wantedAt) >= minDivisionInterval {
		t.want, t.wantedAt = want, now
	}
	return t, bounds{min(t.want, want), max(t.want, want)}
}
