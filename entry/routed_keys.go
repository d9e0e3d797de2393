package entry

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/pipeline"
	"rhubarbpoint/relay"
	"rhubarbpoint/traffic"
)

// unjudgedRetryAfter is the Retry-After of a request whose key cannot be judged. An instance asks the store or its sources
// again after at most this time, and a response within it makes the routes young enough.
const unjudgedRetryAfter = time.Second

// age returns what is known of the age of the routes. It must be read before the routes: they are then at least as new
// as it says.
func (r *Routing) age() knowledge {
	if r.RevokeWithin == 0 {
		return knowledge{}
	}
	k := knowledge{limit: maxAge(r.RevokeWithin)}
	k.age, k.confirmed = r.ConfirmedAge()
	return k
}

// checkKey returns the workspace of a request, or the error for the caller if the request may not run.
func (s *Server) checkKey(ctx context.Context, call *relay.Call, table *traffic.Table, route *traffic.Route, known knowledge) (traffic.Workspace, *Error) {
	workspace, verdict := judgeKey(table, route, call.Key, known)
	switch verdict {
	case keyRefused:
		s.metrics.keysRefused.Inc(1)
	case keyUnjudged:
		s.metrics.keysUnjudged.Inc(1)
		s.logUnjudged(ctx, call, table, known)
	}
	return workspace, verdict.refusal()
}

// refusal returns the error for the caller, or nil if the key is accepted.
func (v keyVerdict) refusal() *Error {
	switch v {
	case keyRefused:
		return notRun(http.StatusUnauthorized, codeUnauthorized, "no workspace has this key")
	case keyUnjudged:
		return notRun(http.StatusServiceUnavailable, codeKeysUnknown, "the instance has not heard from the store for too long to judge keys").
			withRetryAfter(unjudgedRetryAfter)
	}
	return nil
}

func (s *Server) logUnjudged(ctx context.Context, call *relay.Call, table *traffic.Table, known knowledge) {
	omitted, allowed := s.keyLogs.allow()
	if !allowed {
		return
	}
	attrs := []slog.Attr{
		slog.String("request", call.ID), slog.Int64("version", table.Version), logMillis("limit_ms", known.limit),
		slog.Bool("confirmed", known.confirmed), omitted,
	}
	if known.confirmed {
		attrs = append(attrs, logMillis("age_ms", known.age))
	}
	eventKeyUnjudged.Log(ctx, s.opts.Logger, attrs...)
}

// checkKeyAgain checks the key immediately before an attempt, against the newest routes. A request that may have run
// already goes on: its caller sent it before it was accepted, when its key could not have been revoked for longer than
// RevokeWithin, and a retry or the rest of a stream is the same request.
func (x *routedExchange) checkKeyAgain(ctx context.Context) error {
	if x.request.MayHaveRun() || x.headerWritten {
		return nil
	}
	known := x.routing.age()
	table, route := x.routing.Table(), x.route
	if newest := table.Find(hostname(x.call.Host), pathOf(x.call.Target)); newest != nil {
		route = newest
	}
	if _, refused := x.server.checkKey(ctx, x.call, table, route, known); refused != nil {
		return errors.Mark(errors.Mark(refused, pipeline.ErrNotSent), pipeline.ErrFinal)
	}
	return nil
}

// keyRefusal returns the error of checkKeyAgain for the caller, or nil if err is another one.
func keyRefusal(err error) *Error {
	var refused *Error
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}
