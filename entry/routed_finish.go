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
	if x.answer != nil && (err == nil || ctx.Err() == nil) {
		x.deliver(x.answer)
		return nil
	}
	sent := x.request.MayHaveRun()
	if final := ended(ctx, sent); final != nil {
		final.Status = endStatus(final, sent)
		return final.after(refusalPause)
	}
	var busy *place.BusyError
	switch {
	case errors.As(err, &busy):
		return failure(sent, unavailable(sent), codeTooLate, "the replicas have too much work before this request").
			after(refusalPause + time.Duration(rand.Float64()*float64(refusalPause+busy.Over)))
	case errors.Is(err, pipeline.ErrNoUpstream):
		return failure(sent, unavailable(sent), codeNoUpstream, "no replica of the service takes requests").after(refusalPause)
	case sent:
		return failure(sent, http.StatusBadGateway, codeUpstream, "the replica gave no whole answer")
	}
	return failure(sent, http.StatusServiceUnavailable, codeOverloaded, "the replicas take no more requests").after(refusalPause)
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
	logger := x.server.opts.Logger
	e := eventRequestServed
	attrs := []slog.Attr{
		slog.String("request", x.call.ID), slog.String("route", x.route.Name), slog.Int64("version", x.table.Version),
		slog.String("service", x.service.Name), slog.Int("attempts", x.request.Attempts),
		slog.Duration("took", time.Since(x.call.Arrived)),
	}
	if x.placed.Run != nil {
		attrs = append(attrs, slog.String("upstream", x.placed.Run.ID), slog.Duration("estimate", x.placed.First),
			slog.Duration("report_age", x.placed.ReportAge))
	}
	if x.placed.Prefill != nil {
		attrs = append(attrs, slog.String("prefill", x.placed.Prefill.ID))
	}
	if failed != nil {
		e = eventRequestNotServed
		attrs = append(attrs, slog.String("code", failed.Code), slog.String("run", string(failed.Run)),
			slog.Int("status", failed.Status), slog.Duration("left", time.Until(x.call.Deadline)))
	}
	if err != nil {
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	e.Log(ctx, logger, attrs...)
}

func logUpstream(id string) slog.Attr { return slog.String("upstream", id) }
