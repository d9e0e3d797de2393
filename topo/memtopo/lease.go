package memtopo

import (
	"context"
	"time"

	"rhubarbpoint/topo"
)

type lease struct {
	era     int64 // in which it was granted or last kept alive
	ttl     time.Duration
	expires time.Time
}

// Grant implements topo.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (topo.LeaseID, error) {
	var id topo.LeaseID
	err := s.do(ctx, topo.OpGrant, "", func() error {
		s.nextLease++
		id = s.nextLease
		s.content.leases[id] = lease{era: s.era, ttl: ttl, expires: time.Now().Add(ttl)}
		// Watches must see the expiry also when no call to the store follows.
		time.AfterFunc(ttl, s.expireLeases)
		return nil
	})
	if err != nil {
		return 0, err // a late write may still set id
	}
	return id, nil
}

// KeepAlive implements topo.Store.
func (s *Store) KeepAlive(ctx context.Context, id topo.LeaseID) error {
	return s.do(ctx, topo.OpKeepAlive, "", func() error {
		l, found := s.content.leases[id]
		if !found {
			return topo.ErrLeaseNotFound
		}
		restored := l.era != s.era
		l.era, l.expires = s.era, time.Now().Add(l.ttl)
		s.content.leases[id] = l
		time.AfterFunc(l.ttl, s.expireLeases)
		if restored {
			return topo.ErrRestored
		}
		return nil
	})
}

// Revoke implements topo.Store.
func (s *Store) Revoke(ctx context.Context, id topo.LeaseID) error {
	return s.do(ctx, topo.OpRevoke, "", func() error {
		if _, found := s.content.leases[id]; !found {
			return topo.ErrLeaseNotFound
		}
		s.deleteLease(id)
		return nil
	})
}

func (s *Store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
}

func (s *Store) expireLeasesLocked() {
	now := time.Now()
	for id, l := range s.content.leases {
		if !now.Before(l.expires) {
			s.deleteLease(id)
		}
	}
}

func (s *Store) deleteLease(id topo.LeaseID) {
	delete(s.content.leases, id)
	for key, e := range s.content.entries {
		if e.Lease == id {
			s.remove(key)
		}
	}
}
