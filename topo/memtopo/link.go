package memtopo

import (
	"context"
	"sync"
	"time"

	"rhubarbpoint/topo"
)

// Link is the path of one instance to a store that several instances share. It can be broken, and the instance can be
// frozen: then it makes no calls, and reads the response to a call in flight only after it was thawed. It is safe for
// concurrent use.
type Link struct {
	store topo.Store

	mu     sync.Mutex
	broken error
	thaw   time.Time
}

var _ topo.Store = (*Link)(nil)

// NewLink returns an intact link to a store.
func NewLink(store topo.Store) *Link { return &Link{store: store} }

// Break makes every call fail with the error without being executed. A nil error mends the link.
func (l *Link) Break(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = err
}

// Freeze freezes the instance for a time from now on.
func (l *Link) Freeze(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.thaw = time.Now().Add(d)
}

// Frozen returns for how long the instance is still frozen. It is not positive if the instance is not frozen.
func (l *Link) Frozen() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Until(l.thaw)
}

func (l *Link) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broken
}

// pass makes a call unless the link is broken.
func (l *Link) pass(call func()) error {
	time.Sleep(l.Frozen())
	if err := l.failure(); err != nil {
		return err
	}
	call()
	time.Sleep(l.Frozen())
	return nil
}

// Get implements topo.Store.
func (l *Link) Get(ctx context.Context, key string) (entry topo.Entry, err error) {
	if failed := l.pass(func() { entry, err = l.store.Get(ctx, key) }); failed != nil {
		return entry, failed
	}
	return entry, err
}

// List implements topo.Store.
func (l *Link) List(ctx context.Context, prefix string) (entries []topo.Entry, revision int64, err error) {
	if failed := l.pass(func() { entries, revision, err = l.store.List(ctx, prefix) }); failed != nil {
		return nil, 0, failed
	}
	return entries, revision, err
}

// Put implements topo.Store.
func (l *Link) Put(ctx context.Context, key string, value []byte, expect int64, lease topo.LeaseID) (revision int64, err error) {
	if failed := l.pass(func() { revision, err = l.store.Put(ctx, key, value, expect, lease) }); failed != nil {
		return 0, failed
	}
	return revision, err
}

// Delete implements topo.Store.
func (l *Link) Delete(ctx context.Context, key string, expect int64) (err error) {
	if failed := l.pass(func() { err = l.store.Delete(ctx, key, expect) }); failed != nil {
		return failed
	}
	return err
}

// Grant implements topo.Store.
func (l *Link) Grant(ctx context.Context, ttl time.Duration) (id topo.LeaseID, err error) {
	if failed := l.pass(func() { id, err = l.store.Grant(ctx, ttl) }); failed != nil {
		return 0, failed
	}
	return id, err
}

// KeepAlive implements topo.Store.
func (l *Link) KeepAlive(ctx context.Context, id topo.LeaseID) (err error) {
	if failed := l.pass(func() { err = l.store.KeepAlive(ctx, id) }); failed != nil {
		return failed
	}
	return err
}

// Revoke implements topo.Store.
func (l *Link) Revoke(ctx context.Context, id topo.LeaseID) (err error) {
	if failed := l.pass(func() { err = l.store.Revoke(ctx, id) }); failed != nil {
		return failed
	}
	return err
}

// Watch implements topo.Store.
func (l *Link) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (entries []topo.Entry, revision int64, err error) {
	if failed := l.pass(func() { entries, revision, err = l.store.Watch(ctx, prefix, after, wait) }); failed != nil {
		return nil, after, failed
	}
	return entries, revision, err
}
