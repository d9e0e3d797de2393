package entry

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/claim"
	"rhubarbpoint/config"
	"rhubarbpoint/pipeline"
)

// runIdempotent calls one replica after another until one answers.
func (e *exchange) runIdempotent(ctx context.Context) (*claim.Response, *Error) {
	s := e.server
	e.replicas = s.replicas(time.Now(), e.service)
	request := &pipeline.Request{Repeatable: true, MaxRetries: maxCharged, Budget: s.opts.Budget}
	err := pipeline.Run(ctx, request, e, func() { s.metrics.retries.Inc(1) })
	if err == nil {
		return e.answer, nil
	}
	if end := ended(ctx, request.MayHaveRun()); end != nil {
		return nil, end
	}
	switch {
	case e.answer != nil:
		return e.answer, nil
	case errors.Is(err, pipeline.ErrNoUpstream):
		return nil, notRun(http.StatusServiceUnavailable, codeNoUpstream, "the service has no replicas")
	}
	return nil, failure(request.MayHaveRun(), http.StatusBadGateway, codeUpstream, "no replica of the service answered")
}

// errUnwell is an answer that says that the replica, not the call, is at fault.
var errUnwell = errors.New("entry: replica reports a fault")

func judgeStatus(status int) error {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return errUnwell
	}
	return nil
}

// judge counts a success or failure of a replica, unless the caller ended the call.
func (e *exchange) judge(ctx context.Context, replica config.Upstream, err error) {
	s := e.server
	switch {
	case err == nil:
		s.opts.Health.RecordSuccess(time.Now(), replica.ID)
	case ctx.Err() == nil && s.opts.Health.RecordFailure(time.Now(), replica.ID):
		eventUpstreamEjected.Log(ctx, s.opts.Logger, slog.String("upstream", replica.ID))
	}
}
