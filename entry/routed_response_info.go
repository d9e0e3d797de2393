package entry

import (
	"context"
	"log/slog"
	"time"

	"rhubarbpoint/relay"
	"rhubarbpoint/upstream"
)

// recordResponse returns a function that records what the header of a replica's response says about the replica: its
// limit, that it is leaving, or that it asks for a pause. Changes are logged.
func (x *routedExchange) recordResponse(ctx context.Context, replica *upstream.Replica, sent time.Time) func(relay.ResponseInfo) {
	return func(info relay.ResponseInfo) {
		now := time.Now()
		x.routing.Reach.RecordHeard()
		x.recordLimit(ctx, now, sent, replica, info.Limit)
		if info.Leaving {
			x.recordLeaving(ctx, now, replica)
		}
		if info.Pause > 0 {
			x.recordPause(ctx, now, replica, info.Pause)
		}
	}
}

func (x *routedExchange) recordLimit(ctx context.Context, now, sent time.Time, replica *upstream.Replica, limit *float64) {
	change := x.routing.Balancer.RecordLimit(now, sent, replica, limit)
	if change == nil {
		return
	}
	omitted, allowed := x.server.limitLogs.allow()
	switch {
	case !allowed:
	case change.Ended:
		eventLimitEnded.Log(ctx, x.server.opts.Logger, logUpstream(replica.ID), slog.String("request", x.call.ID), omitted)
	default:
		eventLimitNamed.Log(ctx, x.server.opts.Logger, logUpstream(replica.ID), slog.String("request", x.call.ID),
			slog.Float64("limit", change.PerSecond), slog.Float64("share", change.Share), slog.Int("instances", change.Instances), omitted)
	}
}

func (x *routedExchange) recordLeaving(ctx context.Context, now time.Time, replica *upstream.Replica) {
	if !x.routing.Replicas.MarkLeaving(now, replica.Incarnation()) {
		return
	}
	eventReplicaLeaving.Log(ctx, x.server.opts.Logger, logUpstream(replica.ID), slog.Int64("born", replica.Born), slog.String("request", x.call.ID))
	if x.routing.OnLeaving != nil {
		x.routing.OnLeaving(replica)
	}
}

func (x *routedExchange) recordPause(ctx context.Context, now time.Time, replica *upstream.Replica, pause time.Duration) {
	until := x.routing.Balancer.RecordPause(now, replica, pause)
	if omitted, allowed := x.server.limitLogs.allow(); allowed {
		eventReplicaPaused.Log(ctx, x.server.opts.Logger, logUpstream(replica.ID), slog.String("request", x.call.ID), logMillis("asked_ms", pause),
			logMillis("until_ms", until.Sub(now)), omitted)
	}
}
