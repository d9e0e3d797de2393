package authority

import (
	"context"
	"strings"
	"time"

	"rhubarbpoint/topo"
	"rhubarbpoint/topo/memtopo"
)

// processStore is the store of one process. Calls wait while the process is paused, and calls of a dead process have no
// effect. A process that was paused sends its call even if the call's timeout has passed.
type processStore struct {
	*memtopo.Store
	process *process
}

// callUnlessDead makes a store call of a process that may be paused or dead, before the call and before its result.
func callUnlessDead[T any](ctx context.Context, p *process, call func(context.Context) (T, error)) (T, error) {
	var none T
	if !p.waitWhilePaused() {
		return none, topo.ErrAmbiguous
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	result, err := call(ctx)
	if !p.waitWhilePaused() {
		return none, topo.ErrAmbiguous
	}
	return result, err
}

func (s processStore) Get(ctx context.Context, key string) (topo.Entry, error) {
	return callUnlessDead(ctx, s.process, func(ctx context.Context) (topo.Entry, error) { return s.Store.Get(ctx, key) })
}

func (s processStore) Put(ctx context.Context, key string, value []byte, expect int64, lease topo.LeaseID) (int64, error) {
	if strings.Contains(string(value), string(StateOutstanding)) {
		s.process.cluster.beforeCall("journal", s.process, string(value))
	}
	return callUnlessDead(ctx, s.process, func(ctx context.Context) (int64, error) {
		return s.Store.Put(ctx, key, value, expect, lease)
	})
}

func (s processStore) Grant(ctx context.Context, ttl time.Duration) (topo.LeaseID, error) {
	return callUnlessDead(ctx, s.process, func(ctx context.Context) (topo.LeaseID, error) {
		return s.Store.Grant(ctx, ttl)
	})
}

func (s processStore) KeepAlive(ctx context.Context, id topo.LeaseID) error {
	_, err := callUnlessDead(ctx, s.process, func(ctx context.Context) (int, error) {
		return 0, s.Store.KeepAlive(ctx, id)
	})
	return err
}

func (s processStore) Revoke(ctx context.Context, id topo.LeaseID) error {
	_, err := callUnlessDead(ctx, s.process, func(ctx context.Context) (int, error) { return 0, s.Store.Revoke(ctx, id) })
	return err
}

// gateStore also records which fencing tokens the process has read from the region's authority key, and when.
type gateStore struct{ processStore }

func (s gateStore) Get(ctx context.Context, key string) (topo.Entry, error) {
	return callUnlessDead(ctx, s.process, func(ctx context.Context) (topo.Entry, error) {
		entry, err := s.Store.Get(ctx, key)
		if err == nil && key == authorityKey("r") {
			s.process.mu.Lock()
			s.process.fencesRead[entry.Created] = time.Now()
			s.process.mu.Unlock()
		}
		return entry, err
	})
}
