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

// suspectPause is the Retry-After of a request that has crashed several replicas.
const suspectPause = 5 * time.Second

// suspected returns the replicas that a request may run on, given what is known of requests that crash replicas.
func (x *routedExchange) suspected(now time.Time, replicas []*upstream.Replica) ([]*upstream.Replica, error) {
	avoid, err := x.server.opts.Suspects.Check(now, x.fingerprint)
	if err != nil {
		return nil, errors.Mark(err, pipeline.ErrFinal)
	}
	if len(avoid) == 0 {
		return replicas, nil
	}
	var apart []*upstream.Replica
	for _, r := range replicas {
		if !avoid[r.ID] {
			apart = append(apart, r)
		}
	}
	return apart, nil
}

// sendWatched makes one send and notes whether the replica crashed under it.
func (x *routedExchange) sendWatched(ctx context.Context, leg *relay.Attempt, uncached int) error {
	run, err := x.server.opts.Suspects.Begin(time.Now(), leg.Replica.ID, x.fingerprint)
	if err != nil {
		return errors.Mark(errors.Mark(err, pipeline.ErrNotSent), pipeline.ErrFinal)
	}
	defer func() { run.End(time.Now()) }()
	err = x.send(ctx, leg, uncached)
	switch {
	case err == nil, errors.Is(err, errUnwell):
		run.RecordSuccess(time.Now())
	case errors.Is(err, relay.ErrIncompleteResponse) && !errors.Is(err, relay.ErrResponseMismatch) && x.routing.Pool.ConnectionRefused(ctx, leg.Replica.Address):
		x.server.metrics.crashes.Inc(1)
		eventEngineCrashed.Log(ctx, x.server.opts.Logger, slog.String("request", x.call.ID), logUpstream(leg.Replica.ID),
			slog.Any("fingerprint", x.fingerprint))
		run.RecordCrash(time.Now())
	}
	return err
}

// fingerprintOf identifies a request by what could crash a replica.
func fingerprintOf(call *relay.Call) suspect.Fingerprint {
	return suspect.ContentFingerprint(call.Method, call.Target, call.Host, string(call.Body))
}

var _ pipeline.Executor[place.Placement] = (*routedExchange)(nil)
