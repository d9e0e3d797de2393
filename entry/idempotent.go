package entry

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/claim"
	"rhubarbpoint/config"
	"rhubarbpoint/retry"
)

// runIdempotent calls one replica after another until one answers.
func (e *exchange) runIdempotent(ctx context.Context) (*claim.Answer, *Error) {
	s := e.server
	replicas := s.replicas(time.Now(), e.service)
	if len(replicas) == 0 {
		return nil, notRun(http.StatusServiceUnavailable, codeNoUpstream, "the service has no replicas")
	}
	sent := false
	for n := 1; ; n++ {
		answer, err := e.try(ctx, replicas[(n-1)%len(replicas)])
		sent = sent || !errors.Is(err, errNotSent)
		if answer != nil && (err == nil || n > maxCharged) {
			return answer, nil
		}
		if end := ended(ctx, sent); end != nil {
			return nil, end
		}
		if n > maxCharged || !s.opts.Budget.Take() {
			if answer != nil {
				return answer, nil
			}
			return nil, failure(sent, http.StatusBadGateway, codeUpstream, "no replica of the service answered")
		}
		s.metrics.retries.Inc(1)
		if retry.Sleep(ctx, n) != nil {
			return nil, ended(ctx, sent)
		}
	}
}

// errUnwell is an answer that says that the replica, not the call, is at fault.
var errUnwell = errors.New("entry: replica reports a fault")

// try makes one attempt. An answer together with an error is one that another replica should better.
func (e *exchange) try(ctx context.Context, replica config.Upstream) (*claim.Answer, error) {
	s := e.server
	answer, err := e.send(ctx, s.idempotent, replica.Address)
	if err == nil {
		switch answer.Status {
		case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			err = errUnwell
		}
	}
	e.judge(ctx, replica, err)
	return answer, err
}

// judge counts a success or failure of a replica, unless the caller ended the call.
func (e *exchange) judge(ctx context.Context, replica config.Upstream, err error) {
	s := e.server
	switch {
	case err == nil:
		s.opts.Health.Succeeded(time.Now(), replica.ID)
	case ctx.Err() == nil && s.opts.Health.Failed(time.Now(), replica.ID):
		eventUpstreamEjected.Log(ctx, s.opts.Logger, slog.String("upstream", replica.ID))
	}
}
