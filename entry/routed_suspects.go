package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/pipeline"
	"rhubarbpoint/place"
	"rhubarbpoint/relay"
	"rhubarbpoint/suspect"
	"rhubarbpoint/upstream"
)

// suspectRetryAfter is the Retry-After of a request that has crashed several replicas.
const suspectRetryAfter = 5 * time.Second

// allowedReplicas returns the replicas that a request may run on, given what is known of requests that crash replicas.
func (x *routedExchange) allowedReplicas(now time.Time, replicas []*upstream.Replica) ([]*upstream.Replica, error) {
	avoid, err := x.server.opts.Suspects.Check(now, x.fingerprint)
	if err != nil {
		return nil, errors.Mark(err, pipeline.ErrFinal)
	}
	if len(avoid) == 0 {
		return replicas, nil
	}
	var allowed []*upstream.Replica
	for _, r := range replicas {
		if !avoid[r.ID] {
			allowed = append(allowed, r)
		}
	}
	return allowed, nil
}

// sendDetectingCrash makes one send and notes whether the replica crashed under it.
func (x *routedExchange) sendDetectingCrash(ctx context.Context, leg *relay.Leg, uncached int) error {
	run, err := x.server.opts.Suspects.Begin(time.Now(), leg.Replica.ID, x.fingerprint)
	if err != nil {
		return errors.Mark(errors.Mark(err, pipeline.ErrNotSent), pipeline.ErrFinal)
	}
	defer func() { run.End(time.Now()) }()
	err = x.send(ctx, leg, uncached)
	switch {
	case err == nil, errors.Is(err, errServerError):
		run.Finished(time.Now())
	case errors.Is(err, relay.ErrBroken) && !errors.Is(err, relay.ErrForeign) && x.routing.Pool.Refuses(ctx, leg.Replica.Address):
		x.server.metrics.crashes.Inc(1)
		eventEngineCrashed.Log(ctx, x.server.opts.Logger, slog.String("request", x.call.ID), logUpstream(leg.Replica.ID),
			slog.Any("fingerprint", x.fingerprint))
		run.Crashed(time.Now())
	}
	return err
}

// fingerprintOf identifies a request by what could crash a replica.
func fingerprintOf(call *relay.Call) suspect.Fingerprint {
	return suspect.OfContent(call.Method, call.Target, call.Host, string(call.Body))
}

var _ pipeline.Exchange[place.Placement] = (*routedExchange)(nil)
