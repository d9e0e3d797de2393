package member

// zoneRing is the zone's members that are not suspected, in order of their IDs, as places on a ring.
type zoneRing struct {
	generation uint64
	ids        []string
	places     map[string]int
}

// currentRing returns the ring, which is worked out anew when the set of members has changed. The lock is held.
func (s *Service) currentRing() *zoneRing {
	if s.ringCache.places != nil && s.ringCache.generation == s.generation {
		return &s.ringCache
	}
	zone, _ := s.groups()
	r := zoneRing{generation: s.generation, places: make(map[string]int)}
	for _, id := range zone {
		if p := s.presences[id]; s.suspected(id, p, s.lastTick) {
			continue
		}
		r.places[id] = len(r.ids)
		r.ids = append(r.ids, id)
	}
	s.ringCache = r
	return &s.ringCache
}

// passes says whether a load record of the origin goes from this member to the peer. The edges of the ring contain a
// tree for each origin: first along the long steps, then along the short ones. Each member gets a record from its one
// parent, instead of from two neighbours on average. A record whose origin has no place goes along all edges.
func (r *zoneRing) passes(origin, self, peer string) bool {
	o, known := r.places[origin]
	i, inRing := r.places[self]
	p, peerInRing := r.places[peer]
	if !known || !inRing || !peerInRing {
		return true
	}
	n := len(r.ids)
	if n <= ringPeersAllUpTo {
		return i == o
	}
	d := (p - o + n) % n
	if d > n/2 {
		d -= n
	}
	return d != 0 && (o+parentDistance(d, ringStep(n), (n-1)/2)+2*n)%n == i
}

// parentDistance returns the distance from the origin at which the parent of the member at distance d stands. The path
// must not lead past the limit, half way around the ring, where it would meet the path of the other direction.
func parentDistance(d, step, limit int) int {
	long := (abs(d) + step/2) / step
	if long*step > limit {
		long--
	}
	if d < 0 {
		long = -long
	}
	switch short := d - long*step; {
	case short > 0:
		return d - 1
	case short < 0:
		return d + 1
	case d > 0:
		return d - step
	}
	return d + step
}

func abs(n int) int { return max(n, -n) }
