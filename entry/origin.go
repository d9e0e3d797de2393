package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/relay"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// Origins knows at which software versions streams began. Implementations are safe for concurrent use.
type Origins interface {
	// Begin records that the first event of a stream has come from a replica of a version. The ID is that of the request that
	// brought it, whose caller waits until the deadline. After an error, the caller must not get the event.
	Begin(ctx context.Context, service, id, version string, deadline time.Time) error
	// Recorded returns the versions of a service at which a stream can begin without a wait, and whether these are all that
	// serve. The slice must not be modified.
	Recorded(service string) (versions []string, all bool)
	// Find returns the version at which a stream began, by that ID, which may be empty, and how it was found. An error means
	// that it is not known.
	Find(ctx context.Context, service, id string) (version, how string, err error)
}

// streamOrigin is the software version at which a stream began. Events of two versions do not fit together, so only replicas
// of this version may continue it.
type streamOrigin struct {
	known   bool
	version string
}

// findOrigin finds the origin of a stream that its caller takes up again.
func (x *routedExchange) findOrigin(ctx context.Context) error {
	if x.routing.Origins == nil || !x.resumable() || x.call.LastEventID < 0 {
		return nil
	}
	version, how, err := x.routing.Origins.Find(ctx, x.service.Name, x.call.Resumes)
	x.originHow, x.originVersion = how, version
	if err != nil {
		return err
	}
	x.origin = streamOrigin{known: true, version: version}
	return nil
}

// recordOrigin records where the stream begins whose first event is about to be written.
func (x *routedExchange) recordOrigin(ctx context.Context) error {
	if !x.resumable() || x.answering == nil {
		return nil
	}
	begun := streamOrigin{known: true, version: x.answering.Version}
	if x.routing.Origins == nil {
		x.origin = begun
		return nil
	}
	id := x.call.ID
	if x.call.LastEventID >= 0 && x.call.Resumes != "" {
		id = x.call.Resumes
	}
	err := x.routing.Origins.Begin(ctx, x.service.Name, id, begun.version, x.call.Deadline)
	if err != nil && ctx.Err() != nil {
		return errors.Mark(context.Cause(ctx), relay.ErrRequestEnded)
	}
	if err != nil {
		return errors.Mark(err, errNotBegun)
	}
	x.origin = begun
	return nil
}

func (x *routedExchange) resumable() bool {
	return x.route.Kind == traffic.Stream && x.route.Repeatable()
}

// errNotBegun marks the error of a stream that must not begin at a replica's version.
var errNotBegun = errors.New("entry: stream must not begin")

// ofOrigin leaves out the replicas that must not continue the stream and, while others are left for a new one, those at whose
// versions it would have to wait.
func (x *routedExchange) ofOrigin(replicas []*upstream.Replica) []*upstream.Replica {
	if x.origin.known {
		return ofVersions(replicas, []string{x.origin.version})
	}
	if x.routing.Origins == nil || !x.resumable() {
		return replicas
	}
	versions, all := x.routing.Origins.Recorded(x.service.Name)
	if all {
		return replicas
	}
	if recorded := ofVersions(replicas, versions); recorded != nil {
		return recorded
	}
	return replicas
}

// ofVersions returns the replicas of some versions, or nil if none of them answers requests. Replicas that only process prompts
// may have any version, as they write no events.
func ofVersions(replicas []*upstream.Replica, versions []string) []*upstream.Replica {
	answering := 0
	allowed := make([]*upstream.Replica, 0, len(replicas))
	for _, r := range replicas {
		if r.Stage == upstream.Prefill {
			allowed = append(allowed, r)
		} else if slices.Contains(versions, r.Version) {
			allowed = append(allowed, r)
			answering++
		}
	}
	if answering == 0 {
		return nil
	}
	return allowed
}
