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
	// Others returns the instances that follow the store for others of this zone, without this one. An instance that
	// follows the store itself asks them while its own calls fail.
	Others() []string
	// Changes waits for changes that a source knows.
	Changes(ctx context.Context, source string, ask Ask) (*Changes, error)
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
	// Confirmed is when the store certainly still had what the source knows, relative to the receipt of the call by the
	// source: negative before it. It is nil if the source confirms nothing. The receipt is not before the moment at which
	// the call was sent, so adding Confirmed to that moment never gives too late a time.
	Confirmed *time.Duration
}
