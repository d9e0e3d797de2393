package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/memory"
	"rhubarbpoint/pipeline"
	"rhubarbpoint/place"
	"rhubarbpoint/retry"
	"rhubarbpoint/suspect"
	"rhubarbpoint/upstream"
)

// finish completes the request after its last attempt. It returns nil if a response has been written, or the error for
// the caller.
func (x *routedExchange) finish(ctx context.Context, err error) *Error {
	failed := x.respondOrError(ctx, err)
	x.logOutcome(ctx, err, failed)
	if errors.Is(err, memory.ErrNoRoom) {
		x.server.logResponseDropped(ctx, x.call.ID, err)
	}
	x.recordFinished(failed)
	if failed == nil {
		return nil
	}
	if x.headerWritten {
		abortResponse(x.w, x.protoMinor)
	}
	return failed
}

// finishUnknown completes a request that takes up a stream of unknown origin, which must not run.
func (x *routedExchange) finishUnknown(ctx context.Context, err error) *Error {
	failed := contextError(ctx, false)
	if failed == nil {
		failed = notRun(http.StatusServiceUnavailable, codeUnknownOrigin, "it is not known at which software version the stream began").
			withRetryAfter(retry.MinRetryAfter)
	} else {
		failed.Status = contextErrorStatus(failed, false)
	}
	x.logOutcome(ctx, err, failed)
	x.recordFinished(failed)
	return failed
}

// respondOrError writes the buffered response, if there is one and no stream has begun, or returns the error for the
// caller.
func (x *routedExchange) respondOrError(ctx context.Context, err error) *Error {
	switch {
	case x.headerWritten && err == nil:
		return nil
	case !x.headerWritten && x.response != nil:
		x.writeResponse(x.response)
		return nil
	}
	sent := x.request.MayHaveRun()
	if refused := keyRefusal(err); refused != nil && !sent {
		return refused
	}
	if final := contextError(ctx, sent); final != nil {
		final.Status = contextErrorStatus(final, sent)
		return final.withRetryAfter(retry.MinRetryAfter)
	}
	return unplacedError(err, sent)
}

// unplacedError returns the error for the caller of a request that has ended without a response. sent says whether a
// replica may have received it.
func unplacedError(err error, sent bool) *Error {
	var busy *place.BusyError
	switch {
	case errors.Is(err, suspect.ErrRefused), errors.Is(err, suspect.ErrWait):
		return failure(sent, unavailableStatus(sent), codeSuspectRefused, "the request or a part of its prompt has crashed several replicas").withRetryAfter(suspectRetryAfter)
	case errors.As(err, &busy):
		return failure(sent, unavailableStatus(sent), codeTooLate, "the replicas have too much work before this request").
			withRetryAfter(retry.RetryAfter(busy.Excess, busy.Pause, rand.Float64))
	case errors.Is(err, pipeline.ErrNoUpstream):
		return failure(sent, unavailableStatus(sent), codeNoUpstream, "no replica of the service takes requests").withRetryAfter(retry.MinRetryAfter)
	case sent:
		return failure(sent, http.StatusBadGateway, codeUpstreamFailed, "the replica gave no whole answer")
	}
	return failure(sent, http.StatusServiceUnavailable, codeOverloaded, "the replicas take no more requests").withRetryAfter(retry.MinRetryAfter)
}

// contextErrorStatus returns the status for a request whose context has ended. 503 promises that the request has not
// run.
func contextErrorStatus(final *Error, sent bool) int {
	switch {
	case final.Code == codeCallerLeft:
		return final.Status
	case !sent:
		return http.StatusServiceUnavailable
	case final.Code == codeDeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// unavailableStatus returns the status for a request that no replica accepts. 503 promises that it has not run.
func unavailableStatus(sent bool) int {
	if sent {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// logOutcome counts the outcome of the request and logs it with its reasons in one line.
func (x *routedExchange) logOutcome(ctx context.Context, err error, failed *Error) {
	e, limiter := eventRequestServed, x.server.servedLogs
	if failed != nil {
		e, limiter = eventRequestNotServed, x.server.failedLogs
	}
	x.server.metrics.countOutcome(x.route.Kind, failed, time.Since(x.call.Arrived))
	omitted, allowed := limiter.allow()
	if !allowed {
		return
	}
	attrs := []slog.Attr{
		slog.String("request", x.call.ID), slog.String("route", x.route.Name), slog.Int64("version", x.table.Version),
		slog.String("service", x.service.Name), slog.Int("attempts", x.request.Attempts), logMillis("took_ms", time.Since(x.call.Arrived)),
		omitted,
	}
	if x.forwarded {
		attrs = append(attrs, slog.Bool("forwarded", true))
	}
	if !x.firstByteAt.IsZero() {
		attrs = append(attrs, logMillis("first_ms", x.firstByteAt.Sub(x.call.Arrived)))
	}
	if x.call.Workspace != "" {
		attrs = append(attrs, slog.String("workspace", x.call.Workspace))
	}
	attrs = append(attrs, x.lastPlacement.attrs()...)
	if x.call.LastEventID >= 0 {
		attrs = append(attrs, slog.Int64("resumed_after", x.call.LastEventID), slog.String("resumes", x.call.Resumes))
	}
	if x.originHow != "" {
		attrs = append(attrs, slog.String("origin", x.originHow), slog.String("origin_version", x.originVersion))
	}
	if failed != nil && x.headerWritten {
		attrs = append(attrs, slog.Int64("last_event", x.lastEvent))
	}
	if failed != nil {
		attrs = append(attrs, slog.String("code", failed.Code), slog.String("run", string(failed.Run)),
			slog.Int("status", failed.Status), logMillis("left_ms", time.Until(x.call.Deadline)),
			logMillis("retry_after_ms", failed.RetryAfter))
	}
	if err != nil {
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	e.Log(ctx, x.server.opts.Logger, attrs...)
}

// logAttempt logs a failed attempt.
func (x *routedExchange) logAttempt(ctx context.Context, replica *upstream.Replica, err error) {
	omitted, allowed := x.server.failedLogs.allow()
	if !allowed {
		return
	}
	eventAttemptFailed.Log(ctx, x.server.opts.Logger, slog.String("request", x.call.ID), slog.String("upstream", replica.ID),
		slog.String("address", replica.Address), slog.Int("attempt", x.request.Attempts+1), slog.String("error", err.Error()),
		logMillis("since_arrival_ms", time.Since(x.call.Arrived)), omitted)
}

func logMillis(name string, d time.Duration) slog.Attr { return slog.Int64(name, d.Milliseconds()) }

func logUpstream(id string) slog.Attr { return slog.String("upstream", id) }
