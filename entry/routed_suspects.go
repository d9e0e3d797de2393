package entry

import (
	"context"
	"log/slog"
	"net/http"
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

// allowedReplicas returns the replicas that the request may run on. A suspect request must avoid replicas that run
// other suspects. allowedReplicas returns an error if the suspect must not run at present, or if a segment of the prompt
// crashes replicas.
func (x *routedExchange) allowedReplicas(now time.Time, replicas []*upstream.Replica) ([]*upstream.Replica, error) {
	if !x.segmentTrial {
		var err error
		if x.segmentTrial, err = x.server.opts.Segments.Check(now, x.segments); err != nil {
			return nil, errors.Mark(err, pipeline.ErrFinal)
		}
	}
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

// sendDetectingCrash makes one attempt and records whether the replica crashed during it.
func (x *routedExchange) sendDetectingCrash(ctx context.Context, attempt *relay.Attempt, uncached int) error {
	tracked, err := x.server.opts.Suspects.Begin(time.Now(), attempt.Replica.ID, x.fingerprint)
	if err != nil {
		return errors.Mark(errors.Mark(err, pipeline.ErrNotSent), pipeline.ErrFinal)
	}
	defer func() { tracked.End(time.Now()) }()
	prompt, err := x.server.opts.Segments.Begin(time.Now(), upstream.Key(attempt.Replica), x.segments, x.segmentTrial)
	if err != nil {
		return errors.Mark(errors.Mark(err, pipeline.ErrNotSent), pipeline.ErrFinal)
	}
	x.segmentTrial = false // a trial is one attempt
	result := suspect.Unresolved
	defer func() { prompt.End(time.Now(), result) }()
	err = x.send(ctx, attempt, uncached)
	switch {
	case err == nil && x.status < http.StatusInternalServerError:
		tracked.RecordSuccess(time.Now())
		if x.answered() {
			result = suspect.Answered
		}
	case err == nil, errors.Is(err, errServerError):
		// The replica may have failed before it ran the request, so nothing is known.
	case errors.Is(err, relay.ErrNotSent), errors.Is(err, relay.ErrRefused):
		result = suspect.NotRun
	case errors.Is(err, relay.ErrIncompleteResponse) && !errors.Is(err, relay.ErrResponseMismatch) && x.replicaGone(ctx, attempt.Replica) &&
		x.routing.Reach.Confirm(context.WithoutCancel(ctx), attempt.Replica.Address):
		x.server.metrics.crashes.Inc(1)
		eventEngineCrashed.Log(ctx, x.server.opts.Logger, slog.String("request", x.call.ID), logUpstream(attempt.Replica.ID),
			slog.Any("fingerprint", x.fingerprint), slog.Any("segments", x.segments))
		tracked.RecordCrash(time.Now())
		result = suspect.Crashed
	}
	return err
}

// replicaGone reports whether the replica's address refuses connections. It does so even if the caller has left,
// because other requests need the result as well.
func (x *routedExchange) replicaGone(ctx context.Context, replica *upstream.Replica) bool {
	return x.routing.Pool.ConnectionRefused(context.WithoutCancel(ctx), replica.Address)
}

// answered reports whether the replica has certainly answered the prompt. An error response can come from a replica that
// has not begun to.
func (x *routedExchange) answered() bool { return x.status < http.StatusMultipleChoices }

// segmentIDs returns the IDs of the segments that the prompt may share with other requests.
func segmentIDs(prompt *relay.Prompt) []suspect.Segment {
	var ids []suspect.Segment
	for _, segment := range prompt.SharedSegments() {
		ids = append(ids, suspect.Segment(segment.ID))
	}
	return ids
}

// fingerprintOf identifies a request by the content that could crash a replica.
func fingerprintOf(call *relay.Call) suspect.Fingerprint {
	return suspect.ContentFingerprint(call.Method, call.Target, call.Host, string(call.Body))
}

var _ pipeline.Executor[place.Placement] = (*routedExchange)(nil)
