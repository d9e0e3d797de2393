package member

// zoneRing is a ring of the members of the own zone that are not suspected, sorted by ID.
type zoneRing struct {
	generation uint64
	ids        []string
	positions  map[string]int
}

// currentRing returns the ring, which is rebuilt when the set of live or suspected members has changed. The lock is
// held.
func (s *Service) currentRing() *zoneRing {
	if s.ringCache.positions != nil && s.ringCache.generation == s.generation {
		return &s.ringCache
	}
	zone, _ := s.liveIDs()
	r := zoneRing{generation: s.generation, positions: make(map[string]int)}
	for _, id := range zone {
		if p := s.presences[id]; s.suspected(id, p, s.lastTick) {
			continue
		}
		r.positions[id] = len(r.ids)
		r.ids = append(r.ids, id)
	}
	s.ringCache = r
	return &s.ringCache
}

// shouldForward reports whether self sends a load record of the origin to the peer. The edges of the ring contain a
// spanning tree for each origin, which goes first along the long edges, then along the short ones. Each member gets a
// record from its parent in that tree only, and not from two neighbours on average. If one of the three members is not
// on the ring, it returns true, so that the record goes along all edges.
func (r *zoneRing) shouldForward(origin, self, peer string) bool {
	o, originOnRing := r.positions[origin]
	i, selfOnRing := r.positions[self]
	p, peerOnRing := r.positions[peer]
	if !originOnRing || !selfOnRing || !peerOnRing {
		return true
	}
	n := len(r.ids)
	if n <= maxFullMeshZone {
		return i == o
	}
	d := (p - o + n) % n
	if d > n/2 {
		d -= n
	}
	return d != 0 && (o+parentDistance(d, ringStep(n), (n-1)/2)+2*n)%n == i
}

// parentDistance returns the signed distance from the origin to the parent of the member at distance d. A path must not
// go beyond the limit, half way around the ring, where it would meet the paths of the other direction.
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
