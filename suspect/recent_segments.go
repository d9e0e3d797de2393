package suspect

// maxRecentSegments bounds each of the two generations of recentSegments.
const maxRecentSegments = 4096

// recentSegments remembers the segments that were added most recently: at least maxRecentSegments of them, at most twice
// as many.
type recentSegments struct{ current, previous map[Segment]struct{} }

func newRecentSegments() recentSegments {
	return recentSegments{current: make(map[Segment]struct{})}
}

func (r *recentSegments) add(s Segment) {
	if _, found := r.current[s]; found {
		return
	}
	if len(r.current) >= maxRecentSegments {
		r.previous, r.current = r.current, make(map[Segment]struct{})
	}
	r.current[s] = struct{}{}
}

func (r *recentSegments) has(s Segment) bool {
	if _, found := r.current[s]; found {
		return true
	}
	_, found := r.previous[s]
	return found
}
