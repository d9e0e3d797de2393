package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"rhubarbpoint/activity"
	"rhubarbpoint/forward"
	"rhubarbpoint/memory"
	"rhubarbpoint/pipeline"
	"rhubarbpoint/place"
	"rhubarbpoint/reach"
	"rhubarbpoint/relay"
	"rhubarbpoint/retry"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// Routing configures a server to forward requests by configured routes, instead of serving the models and plain
// services of the configuration document.
type Routing struct {
	// Table returns the routes in force, or nil before the first ones.
	Table func() *traffic.Table
	// Replicas are the upstreams of all services.
	Replicas *upstream.Registry
	Balancer *place.Balancer
	Dialect  relay.Dialect
	Pool     *relay.Pool
	// OnLeaving is called when a replica reports that it is leaving, unless that was known. It may be nil.
	OnLeaving func(*upstream.Replica)
	// Activity counts the requests. It may be nil.
	Activity *activity.Recorder
	// Budgets limits the retries of each service.
	Budgets *retry.ServiceBudgets
	// RevokeWithin is the time within which no request with a revoked key may run any more; 0 means that the age of the
	// routes is not checked.
	RevokeWithin time.Duration
	// ConfirmedAge returns the time since the latest moment at which the store certainly still had the routes that Table
	// returns after the call, or false if that has never been certain. It is used only with RevokeWithin.
	ConfirmedAge func() (time.Duration, bool)
	// Origins, if set, knows at which software versions streams began. Without it, streams that callers take up again are
	// continued at any version.
	Origins Origins
	// Incarnations, if set, asks replicas of engines when they started.
	Incarnations Incarnations
	// Hedging, if set, allows second attempts of requests of idempotent routes.
	Hedging *Hedging
	// Reach follows whether this instance reaches replicas. It may be nil.
	Reach *reach.Tracker
	// Forward, if set, passes requests on to other instances while this one reaches no replicas.
	Forward *forward.Client
}

// Limits and times of routed requests.
const (
	// defaultRoutedBodyBytes limits a body if the routes set no limit.
	defaultRoutedBodyBytes = 4 << 20
	// noTableRetryAfter is the Retry-After before the first routes are known. The store answers within milliseconds when
	// it can be reached.
	noTableRetryAfter = 500 * time.Millisecond
)

// serveRouted serves a request by the route that matches its host and path.
func (s *Server) serveRouted(w http.ResponseWriter, r *http.Request, holding *memory.Holding) *Error {
	now := time.Now()
	routing := s.opts.Routing
	call, err := routing.Dialect.ParseRequest(r, now)
	if err != nil {
		return notRun(http.StatusBadRequest, codeBadRequest, err.Error())
	}
	holding.Request = call.ID
	table, route, age, unrouted := s.findRoute(r.Host, pathOf(call.Target))
	if unrouted != nil {
		return unrouted
	}
	workspace, refused := s.checkKey(r.Context(), call, table, route, age)
	if refused != nil {
		return refused
	}
	if workspace.Name != "" {
		call.Workspace = workspace.Name
	}
	s.routedInFlight.Add(1)
	defer s.routedInFlight.Add(-1)
	x := &routedExchange{
		server: s, routing: routing, table: table, route: route, call: call, w: w, control: http.NewResponseController(w), protoMinor: r.ProtoMinor,
		lastEvent: call.LastEventID, deadline: withinTimeout(now, call.Deadline, route), priority: priorityOf(route, workspace),
		holding: holding, header: r.Header, forwarded: isForwarded(r.Context()),
	}
	var unserved *Error
	if x.service, unserved = pickService(table, route, routing.Balancer); unserved != nil {
		return unserved
	}
	s.recordDeadline(x.deadline)
	ctx, end := context.WithCancelCause(r.Context())
	defer end(nil)
	x.end = end
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, errDeadlineExceeded)
	defer cancel()
	if bodyErr := x.readBody(w, r, table.Limits.MaxBodyBytes); bodyErr != nil {
		return bodyErr
	}
	x.fingerprint, x.segments = fingerprintOf(call), segmentIDs(&call.Prompt)
	return x.run(ctx)
}

// findRoute returns the routes in force, their route for a host and a path, and the age of the routes, or the error for
// the caller.
func (s *Server) findRoute(host, path string) (*traffic.Table, *traffic.Route, knowledge, *Error) {
	age := s.opts.Routing.age()
	table := s.opts.Routing.Table()
	if table == nil {
		return nil, nil, age, notRun(http.StatusServiceUnavailable, codeNoUpstream, "the instance has no routes yet").withRetryAfter(noTableRetryAfter)
	}
	route := table.Find(hostname(host), path)
	if route == nil {
		return table, nil, age, notRun(http.StatusNotFound, codeUnknownRoute, "no route has this host and path")
	}
	if s.refusing.Load() {
		return table, route, age, notRun(http.StatusServiceUnavailable, codeStopping, "the instance stops").withRetryAfter(retry.MinRetryAfter)
	}
	return table, route, age, nil
}

// withinTimeout returns the deadline of a request that arrives now, bounded by the timeout of its route.
func withinTimeout(now, deadline time.Time, route *traffic.Route) time.Time {
	if route.Timeout > 0 && now.Add(route.Timeout).Before(deadline) {
		return now.Add(route.Timeout)
	}
	return deadline
}

// pickService returns the service for the next request of a route, by a random number of the balancer.
func pickService(table *traffic.Table, route *traffic.Route, balancer *place.Balancer) (*traffic.Service, *Error) {
	service, known := table.Services[route.PickService(balancer.SplitPoint())]
	if !known {
		return nil, notRun(http.StatusServiceUnavailable, codeNoUpstream, "the route has no service").withRetryAfter(retry.MinRetryAfter)
	}
	return &service, nil
}

// readBody reads the whole body, so that the request can be retried and no incomplete body is sent to a replica.
func (x *routedExchange) readBody(w http.ResponseWriter, r *http.Request, limit int64) *Error {
	body, err := x.server.readAll(w, r, orDefault(limit, int64(defaultRoutedBodyBytes)), x.deadline, x.holding)
	x.call.Body = body
	return err
}

// pathOf returns the path of a request target.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

func hostname(host string) string {
	if name, _, found := strings.Cut(host, ":"); found {
		return name
	}
	return host
}

// run makes attempts until one succeeds or the request has failed, and writes the response. It returns the error for
// the caller if nothing has been written.
func (x *routedExchange) run(ctx context.Context) *Error {
	defer func() {
		if x.outbox != nil {
			x.outbox.stop() // after a panic; net/http gives the connection's buffer to another caller
		}
	}()
	if x.forwardsAtOnce() {
		if done, failed := x.forward(ctx); done {
			return failed
		}
	}
	x.budget = x.routing.Budgets.ForService(x.service.Name)
	x.budget.RecordRequest(time.Now())
	x.offered()
	if x.forwarded {
		x.server.metrics.forwardedHere.Inc(1)
	}
	x.request = pipeline.Request{
		Repeatable: x.route.Repeatable(), MaxAttempts: x.route.MaxAttempts, MaxRetries: maxRoutedRetries,
		Budget: windowBudget{x.budget},
	}
	if unknown := x.findOrigin(ctx); unknown != nil {
		return x.finishUnknown(ctx, unknown)
	}
	err := pipeline.Run(ctx, &x.request, x.executor(time.Now()), func() { x.server.metrics.retries.Inc(1) })
	if x.forwardsAfter(ctx, err) {
		if done, failed := x.forward(ctx); done {
			return failed
		}
	}
	if x.outbox != nil {
		if undelivered := x.outbox.finish(ctx); err == nil {
			err = undelivered
		}
	}
	return x.finish(ctx, err)
}

// windowBudget adapts a retry.WindowBudget to the pipeline.
type windowBudget struct{ *retry.WindowBudget }

// Take implements pipeline.Budget.
func (b windowBudget) Take() bool { return b.WindowBudget.Take(time.Now()) }
