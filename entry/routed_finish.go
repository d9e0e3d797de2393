package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/pipeline"
	"rhubarbpoint/place"
	"rhubarbpoint/retry"
	"rhubarbpoint/suspect"
	"rhubarbpoint/upstream"
)

// finish delivers what there is and returns the error to answer with, or nil when an answer has been written.
func (x *routedExchange) finish(ctx context.Context, err error) *Error {
	failed := x.outcome(ctx, err)
	x.log(ctx, err, failed)
	if failed == nil {
		return nil
	}
	if x.begun {
		// The connection is cut, so that the answer does not look complete.
		panic(http.ErrAbortHandler)
	}
	return failed
}

func (x *routedExchange) outcome(ctx context.Context, err error) *Error {
	if x.begun && err == nil {
		return nil
	}
	if x.answer != nil {
		x.deliver(x.answer)
		return nil
	}
	sent := x.request.MayHaveRun()
	if final := ended(ctx, sent); final != nil {
		final.Status = endStatus(final, sent)
		return final.after(retry.MinRetryAfter)
	}
	var busy *place.BusyError
	switch {
	case errors.Is(err, suspect.ErrRefused), errors.Is(err, suspect.ErrWait):
		return failure(sent, unavailable(sent), codeSuspect, "the request has crashed several replicas").after(suspectPause)
	case errors.As(err, &busy):
		return failure(sent, unavailable(sent), codeTooLate, "the replicas have too much work before this request").
			after(retry.RetryAfter(busy.Excess, rand.Float64))
	case errors.Is(err, pipeline.ErrNoUpstream):
		return failure(sent, unavailable(sent), codeNoUpstream, "no replica of the service takes requests").after(retry.MinRetryAfter)
	case sent:
		return failure(sent, http.StatusBadGateway, codeUpstream, "the replica gave no whole answer")
	}
	return failure(sent, http.StatusServiceUnavailable, codeOverloaded, "the replicas take no more requests").after(retry.MinRetryAfter)
}

// endStatus returns the status for a request whose time is over. 503 promises that the request has not run.
func endStatus(final *Error, sent bool) int {
	switch {
	case final.Code == codeCallerLeft:
		return final.Status
	case !sent:
		return http.StatusServiceUnavailable
	case final.Code == codeDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// unavailable returns the status for a request that no replica takes: 503 promises that it has not run.
func unavailable(sent bool) int {
	if sent {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// log writes the one line that explains the request's outcome.
func (x *routedExchange) log(ctx context.Context, err error, failed *Error) {
	e, limit := eventRequestServed, x.server.servedLines
	if failed != nil {
		e, limit = eventRequestNotServed, x.server.failedLines
	}
	x.server.metrics.outcome(x.route.Kind, failed, time.Since(x.call.Arrived))
	omitted, allowed := limit.take()
	if !allowed {
		return
	}
	attrs := []slog.Attr{
		slog.String("request", x.call.ID), slog.String("route", x.route.Name), slog.Int64("version", x.table.Version),
		slog.String("service", x.service.Name), slog.Int("attempts", x.request.Attempts), logMillis("took_ms", time.Since(x.call.Arrived)),
		omitted,
	}
	if !x.first.IsZero() {
		attrs = append(attrs, logMillis("first_ms", x.first.Sub(x.call.Arrived)))
	}
	attrs = append(attrs, x.placed.attrs()...)
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

// logAttempt explains an attempt that failed.
func (x *routedExchange) logAttempt(ctx context.Context, replica *upstream.Replica, err error) {
	omitted, allowed := x.server.failedLines.take()
	if !allowed {
		return
	}
	eventAttemptFailed.Log(ctx, x.server.opts.Logger, slog.String("request", x.call.ID), slog.String("upstream", replica.ID),
		slog.String("address", replica.Address), slog.Int("attempt", x.request.Attempts+1), slog.String("error", err.Error()),
		logMillis("since_arrival_ms", time.Since(x.call.Arrived)), omitted)
}

func logMillis(name string, d time.Duration) slog.Attr { return slog.Int64(name, d.Milliseconds()) }

func logUpstream(id string) slog.Attr { return slog.String("upstream", id) }
