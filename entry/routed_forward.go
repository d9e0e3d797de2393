package entry

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/forward"
	"rhubarbpoint/pipeline"
	"rhubarbpoint/place"
	"rhubarbpoint/reach"
	"rhubarbpoint/relay"
	"rhubarbpoint/retry"
	"rhubarbpoint/traffic"
)

const (
	// forwardMargin is subtracted from the deadline for another instance, so that its answer can still reach the caller.
	forwardMargin = 20 * time.Millisecond
	// forwardReadBytes is the size of the buffer for an answer on its way to the caller.
	forwardReadBytes = 16 << 10
)

// errIsolated ends the placement of a request because this instance reaches no replicas.
var errIsolated = errors.Mark(errors.Mark(errors.New("entry: instance reaches no replicas"), pipeline.ErrNoUpstream), pipeline.ErrFinal)

// forwardsAtOnce reports whether the request should be passed on without an attempt here.
func (x *routedExchange) forwardsAtOnce() bool {
	return x.routing.Forward != nil && !x.forwarded && x.routing.Reach.Phase() == reach.Isolated && x.routing.Forward.Available(time.Now())
}

// unsent reports whether the request has certainly not run here, and its caller has nothing of a response.
func (x *routedExchange) unsent() bool {
	return !x.request.MayHaveRun() && !x.headerWritten && x.response == nil
}

// forwardsAfter reports whether the request should be passed on after it failed here with err: nothing was sent because no
// replica could be reached or chosen, and the links of this instance may be the cause.
func (x *routedExchange) forwardsAfter(ctx context.Context, err error) bool {
	if x.routing.Forward == nil || x.forwarded || err == nil || !x.unsent() || ctx.Err() != nil || x.routing.Reach.Phase() == reach.Reaching {
		return false
	}
	var busy *place.BusyError
	return errors.Is(err, errIsolated) || errors.Is(err, relay.ErrNotSent) || errors.Is(err, pipeline.ErrNoUpstream) || errors.As(err, &busy)
}

// forward passes the request on to another instance and its answer to the caller. It returns false if no instance took
// it; it has not run then. Otherwise it returns nil or the error for the caller, like finish.
func (x *routedExchange) forward(ctx context.Context) (done bool, failed *Error) {
	deadline := x.deadline.Add(-forwardMargin)
	ex, err := x.routing.Forward.Do(ctx, &forward.Message{
		Method: x.call.Method, Target: x.call.Target, Host: x.call.Host, Body: x.call.Body,
		Header: func(now time.Time) http.Header { return x.routing.Dialect.PeerHeader(x.header, deadline, now) },
	})
	mayHaveRun := errors.Is(err, forward.ErrMayHaveRun)
	switch {
	case err == nil:
		defer ex.Close()
	case mayHaveRun || ctx.Err() != nil:
		x.logForwarded(ctx, nil, err)
		return true, forwardError(ctx, mayHaveRun)
	default:
		x.logForwarded(ctx, nil, err)
		return false, nil
	}
	x.releaseRequestBody()
	err = x.passOn(ctx, ex.Response)
	if x.outbox != nil {
		if undelivered := x.outbox.finish(ctx); err == nil {
			err = undelivered
		}
	}
	x.logForwarded(ctx, ex, err)
	if err != nil {
		abortResponse(x.w, x.protoMinor)
	}
	return true, nil
}

// forwardError returns the error for the caller of a request whose answer by another instance did not arrive.
func forwardError(ctx context.Context, mayHaveRun bool) *Error {
	if final := contextError(ctx, mayHaveRun); final != nil {
		final.Status = contextErrorStatus(final, mayHaveRun)
		return final.withRetryAfter(retry.MinRetryAfter)
	}
	return failure(mayHaveRun, http.StatusBadGateway, codeUpstreamFailed, "the instance that served the request gave no whole answer")
}

// passOn writes another instance's answer to the caller as it arrives. An error means that the answer is not complete.
func (x *routedExchange) passOn(ctx context.Context, resp *http.Response) error {
	x.copyHeader(resp.Header)
	if resp.ContentLength >= 0 && (resp.ContentLength > 0 || resp.Header.Get("Content-Length") != "") {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.headerWritten, x.firstByteAt = true, time.Now()
	x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	x.w.WriteHeader(resp.StatusCode)
	stream := x.route.Kind == traffic.Stream && resp.ContentLength < 0
	if !stream {
		x.holding.OnEnd(func() { x.control.SetWriteDeadline(time.Now()) })
		defer x.holding.OnEnd(nil)
	}
	for buf := make([]byte, forwardReadBytes); ; {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if writeErr := x.passOnPart(ctx, buf[:n], stream); writeErr != nil {
				return writeErr
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return errors.Wrap(err, "entry: answer of another instance")
		}
	}
}

func (x *routedExchange) passOnPart(ctx context.Context, part []byte, stream bool) error {
	if stream {
		return x.write(ctx, append([]byte(nil), part...))
	}
	x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := writeChunkOf(x.w, part, x.holding)
	x.holding.CallerDone()
	return err
}

// logForwarded counts and logs a request that was passed on; ex is nil if there is no answer.
func (x *routedExchange) logForwarded(ctx context.Context, ex *forward.Exchange, err error) {
	outcome, limiter := "served", x.server.servedLogs
	if err != nil {
		outcome, limiter = "failed", x.server.failedLogs
	}
	metrics.GetOrRegisterCounter("entry.forwarded."+outcome, x.server.metrics.registry).Inc(1)
	omitted, allowed := limiter.allow()
	if !allowed {
		return
	}
	attrs := []slog.Attr{slog.String("request", x.call.ID), slog.String("route", x.route.Name),
		logMillis("took_ms", time.Since(x.call.Arrived)), logMillis("left_ms", time.Until(x.call.Deadline)), omitted}
	if ex != nil {
		attrs = append(attrs, slog.String("instance", ex.Instance), slog.Int("status", ex.Response.StatusCode))
	}
	if err != nil {
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	eventRequestForwarded.Log(ctx, x.server.opts.Logger, attrs...)
}
