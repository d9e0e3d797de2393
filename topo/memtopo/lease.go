package memtopo

import (
	"context"
	"time"

	"rhubarbpoint/topo"
)

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Grant implements topo.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (topo.LeaseID, error) {
	var id topo.LeaseID
	err := s.do(ctx, topo.OpGrant, "", func() error {
		s.nextLease++
		id = s.nextLease
		s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
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
		l := s.leases[id]
		if l == nil {
			return topo.ErrLeaseNotFound
		}
		l.expires = time.Now().Add(l.ttl)
		time.AfterFunc(l.ttl, s.expireLeases)
		return nil
	})
}

// Revoke implements topo.Store.
func (s *Store) Revoke(ctx context.Context, id topo.LeaseID) error {
	return s.do(ctx, topo.OpRevoke, "", func() error {
		if s.leases[id] == nil {
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
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.deleteLease(id)
		}
	}
}

func (s *Store) deleteLease(id topo.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.Lease == id {
			s.remove(key)
		}
	}
}
