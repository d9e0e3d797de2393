package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"rhubarbpoint/pipeline"
	"rhubarbpoint/place"
	"rhubarbpoint/relay"
	"rhubarbpoint/retry"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// Routing is what the server needs to serve requests by configured routes instead of the interface for models and
// services.
type Routing struct {
	// Table returns the routes in force, or nil before the first ones.
	Table func() *traffic.Table
	// Replicas are the upstreams of all services.
	Replicas *upstream.Registry
	Balancer *place.Balancer
	Dialect  relay.Dialect
	Pool     *relay.Pool
	// Budgets bounds repeated attempts for each service.
	Budgets *retry.ServiceBudgets
}

// Limits and times of routed requests.
const (
	// defaultRoutedBody bounds a body when the routes set no limit.
	defaultRoutedBody = 4 << 20
	// noTablePause is the Retry-After before the first routes are known. The store answers within milliseconds when it
	// can be reached.
	noTablePause = 500 * time.Millisecond
)

// serveRouted answers a request by the route of its host and path.
func (s *Server) serveRouted(w http.ResponseWriter, r *http.Request) *Error {
	now := time.Now()
	routing := s.opts.Routing
	call, err := routing.Dialect.ParseRequest(r, now)
	if err != nil {
		return notRun(http.StatusBadRequest, codeBadRequest, err.Error())
	}
	table := routing.Table()
	if table == nil {
		return notRun(http.StatusServiceUnavailable, codeNoUpstream, "the instance has no routes yet").after(noTablePause)
	}
	path, _, _ := strings.Cut(call.Target, "?")
	route := table.Find(hostOf(r.Host), path)
	if route == nil {
		return notRun(http.StatusNotFound, codeUnknownRoute, "no route has this host and path")
	}
	if s.refusing.Load() {
		return notRun(http.StatusServiceUnavailable, codeStopping, "the instance stops").after(retry.MinRetryAfter)
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := &routedExchange{
		server: s, routing: routing, table: table, route: route, call: call, w: w, control: http.NewResponseController(w),
		last: call.LastEventID, deadline: call.Deadline,
	}
	if route.Timeout > 0 && now.Add(route.Timeout).Before(x.deadline) {
		x.deadline = now.Add(route.Timeout)
	}
	service, known := table.Services[route.PickService(routing.Balancer.SplitPoint())]
	if !known {
		return notRun(http.StatusServiceUnavailable, codeNoUpstream, "the route has no service").after(retry.MinRetryAfter)
	}
	x.service = &service
	s.noteDeadline(x.deadline)
	ctx, cancel := context.WithDeadlineCause(r.Context(), x.deadline, errDeadline)
	defer cancel()
	if bodyErr := x.readBody(w, r, table.Limits.MaxBodyBytes); bodyErr != nil {
		return bodyErr
	}
	x.fingerprint = fingerprintOf(call)
	return x.run(ctx)
}

// readBody reads the whole body, so that an attempt can be repeated and sends nothing that did not arrive.
func (x *routedExchange) readBody(w http.ResponseWriter, r *http.Request, limit int64) *Error {
	body, err := x.server.readAll(w, r, orDefault(limit, int64(defaultRoutedBody)), x.deadline)
	x.call.Body = body
	return err
}

func hostOf(host string) string {
	if name, _, found := strings.Cut(host, ":"); found {
		return name
	}
	return host
}

// run makes attempts until the answer is delivered or the request has failed.
func (x *routedExchange) run(ctx context.Context) *Error {
	x.budget = x.routing.Budgets.ForService(x.service.Name)
	x.budget.RecordRequest(time.Now())
	x.request = pipeline.Request{
		Repeatable: x.route.Repeatable(), MaxAttempts: x.route.MaxAttempts, MaxRetries: maxRoutedRetries,
		Budget: windowBudget{x.budget},
	}
	err := pipeline.Run(ctx, &x.request, x, func() { x.server.metrics.retries.Inc(1) })
	return x.finish(ctx, err)
}

// windowBudget adapts a retry.Window to the pipeline.
type windowBudget struct{ *retry.WindowBudget }

// Take implements pipeline.Budget.
func (b windowBudget) Take() bool { return b.WindowBudget.Take(time.Now()) }
