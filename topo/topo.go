// Package topo defines the interface to the platform: its key-value service (Store) and its list of instances
// (Directory). All state that must be agreed on or persisted goes through it, so that no other package depends on the
// wire format of a particular platform. memtopo implements both in memory for tests. In production, package platform
// implements Store, and httplist implements Directory.
package topo

import (
	"context"
	"time"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// Entry is one key of the store with its value. Revision is the store-wide revision of its last write, Created that of
// its creation. A watch reports a deleted entry with a nil Value.
type Entry struct {
	Key      string  `json:"key"`
	Value    []byte  `json:"value"`
	Revision int64   `json:"revision"`
	Created  int64   `json:"created"`
	Lease    LeaseID `json:"lease,omitempty"`
}

// Store is the platform's key-value service. Revisions are store-wide and strictly increasing, also when the store is
// restored from an older copy, which begins a new era (see Revision): entries that it still has get higher revisions by that,
// writes that it has lost are gone, and a write that expects a revision of an earlier era fails with ErrConflict.
// Implementations are safe for concurrent use. Each call can fail with ErrUnavailable or ErrRateLimited (certainly not
// executed) or, for writes, with ErrAmbiguous (may have taken effect, or may still do so).
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys have the prefix, in order of their keys, and a revision from which a watch
	// sees every change that the list may have missed.
	List(ctx context.Context, prefix string) ([]Entry, int64, error)
	// Put writes a value if the key's current revision is expect; zero means that the key must not exist. It returns
	// the new revision, or ErrConflict, ErrTooLarge, or ErrLeaseNotFound.
	Put(ctx context.Context, key string, value []byte, expect int64, lease LeaseID) (int64, error)
	// Delete removes a key if its current revision is expect, or returns ErrConflict.
	Delete(ctx context.Context, key string, expect int64) error
	// Grant creates a lease that expires after ttl unless it is kept alive. Keys attached to it are deleted with it.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease by its ttl, or returns ErrLeaseNotFound. ErrRestored means that the lease was extended, but that
	// the store has been restored since it was granted or last kept alive and may have lost the keys that were attached to it.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits up to wait for entries under the prefix that changed after the given revision. It returns their
	// latest states and the revision to continue from. It returns no entries when the wait is over. If after is 0, it
	// returns the entries as they are. ErrCompacted means that the history since the revision is no longer available,
	// ErrRestored that the revision is of an earlier era, ErrTooManyChanges that the changes are too large for a response.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Entry, int64, error)
}

// Directory is the platform's list of instances. It lags behind the actual state by seconds.
type Directory interface {
	Instances(ctx context.Context) ([]Instance, error)
}
