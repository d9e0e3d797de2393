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

// runIdempotent sends the request to one replica after another until one answers.
func (e *serviceExchange) runIdempotent(ctx context.Context) (*claim.Response, *Error) {
	s := e.server
	e.replicas = s.serviceReplicas(time.Now(), e.service)
	request := &pipeline.Request{Repeatable: true, MaxRetries: maxRetries, Budget: s.opts.Budget}
	err := pipeline.Run(ctx, request, e, func() { s.metrics.retries.Inc(1) })
	if err == nil {
		return e.response, nil
	}
	if end := contextError(ctx, request.MayHaveRun()); end != nil {
		return nil, end
	}
	switch {
	case e.response != nil:
		return e.response, nil
	case errors.Is(err, pipeline.ErrNoUpstream):
		return nil, notRun(http.StatusServiceUnavailable, codeNoUpstream, "the service has no replicas")
	}
	return nil, failure(request.MayHaveRun(), http.StatusBadGateway, codeUpstreamFailed, "no replica of the service answered")
}

// errServerError means that the status of the response shows a failure of the replica.
var errServerError = errors.New("entry: replica reports a fault")

// checkStatus returns errServerError for a status by which a replica says that it cannot serve requests.
func checkStatus(status int) error {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return errServerError
	}
	return nil
}

// recordHealth counts a success or failure of a replica, unless the request's own context ended the attempt.
func (e *serviceExchange) recordHealth(ctx context.Context, replica config.Upstream, err error) {
	s := e.server
	switch {
	case err == nil:
		s.opts.Health.RecordSuccess(time.Now(), replica.ID)
	case ctx.Err() == nil && s.opts.Health.RecordFailure(time.Now(), replica.ID):
		eventUpstreamEjected.Log(ctx, s.opts.Logger, slog.String("upstream", replica.ID))
	}
}
