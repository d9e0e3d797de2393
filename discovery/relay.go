package discovery

import (
	"context"
	"time"

	"rhubarbpoint/topo"
)

// Relay reads the changes of the store through other instances, so that the calls to the store do not grow with the
// number of instances. Implementations are safe for concurrent use.
type Relay interface {
	// Sources returns the instances that follow the store for this one, the preferred one first. It returns none if this
	// instance should follow the store itself.
	Sources() []string
	// Changes waits up to wait for changes after a revision that a source knows.
	Changes(ctx context.Context, source string, after int64, wait time.Duration) (*Changes, error)
}

// Changes are changes of the store that one instance passes on to another.
type Changes struct {
	// Entries are the changed entries in order of their revisions. A deleted entry has a nil Value.
	Entries []topo.Entry
	// Revision is the revision to continue from.
	Revision int64
	// Age is the time since the store last responded to the source.
	Age time.Duration
	// KeepMissing is how long replicas that the store no longer lists stay in use, because their entries may have expired
	// in an outage.
	KeepMissing time.Duration
}
