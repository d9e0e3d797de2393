package memtopo

import (
	"maps"
	"time"
)

// Copy is a copy of a store at a moment.
type Copy struct {
	content content
	taken   time.Time
}

// Copy returns a copy of what the store holds.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{content: s.content.clone(), taken: time.Now()}
}

// Restore replaces what the store holds by a copy. What was written since is gone, leases too, and a new era begins, in
// which revisions are given out again. The remaining leases run as long as they did at the copy.
func (s *Store) Restore(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = max(s.era, 1) + 1 // eras count from 1
	s.content = from.content.clone()
	paused := time.Since(from.taken)
	for id, l := range s.content.leases {
		l.expires = l.expires.Add(paused)
		s.content.leases[id] = l
		time.AfterFunc(time.Until(l.expires), s.expireLeases)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Era returns the era of the store, which rises each time it is restored.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (c content) clone() content {
	c.entries, c.deleted, c.leases = maps.Clone(c.entries), maps.Clone(c.deleted), maps.Clone(c.leases)
	return c
}
