// Package entry is the HTTP interface for callers. It serves chat completions on engines, requests to plain services
// (HTTP services of the configuration document), and requests that are forwarded by configured routes. It retries
// failed attempts and resumes interrupted streams, so that each caller gets the complete response to its own request.
package entry

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"rhubarbpoint/memory"
	"rhubarbpoint/relay"
)

// Server is the HTTP handler for callers. It is safe for concurrent use.
type Server struct {
	opts             Options
	metrics          *counters
	workspaces       atomic.Pointer[workspaceIndex]
	estimates        completionEstimates
	epochs           epochTable
	inFlightRequests inFlightTable
	pool             *relay.Pool
	backgroundTasks  sync.WaitGroup
	// leavingReports holds the IDs of the engines that are being reported as leaving.
	leavingReports sync.Map
	closing        atomic.Bool
	// refusing is set late in a graceful shutdown, when a new routed request might not finish in time.
	refusing atomic.Bool
	// routedInFlight counts the routed requests in flight.
	routedInFlight atomic.Int64
	// servedLogs, failedLogs and limitLogs limit the rate of log lines about routed requests.
	servedLogs, failedLogs, limitLogs *logLimiter
	// memoryLogs limits that of log lines about memory.
	memoryLogs *logLimiter
	// keyLogs limits that of log lines about keys that cannot be judged.
	keyLogs *logLimiter
	// secondLogs limits those about second attempts.
	secondLogs *logLimiter
	// latestDeadline is the latest deadline of any request, in Unix milliseconds.
	latestDeadline atomic.Int64
}

// NewServer returns a server with the given options.
func NewServer(opts Options) *Server {
	opts = opts.withDefaults()
	return &Server{opts: opts, metrics: newCounters(opts.Metrics, opts.Memory), pool: relay.NewPool(opts.Dial),
		servedLogs: newLogLimiter(servedLogsPerSecond), failedLogs: newLogLimiter(failedLogsPerSecond),
		limitLogs: newLogLimiter(limitLogsPerSecond), keyLogs: newLogLimiter(keyLogsPerSecond), secondLogs: newLogLimiter(secondLogsPerSecond),
		memoryLogs: newLogLimiter(memoryLogsPerSecond),
	}
}

// DisableKeepAlives makes the server send "Connection: close" with each response, so that callers open a new
// connection for their next request.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// Wait blocks until the background tasks that outlive their requests have ended. It must not be called while a request
// is in flight.
func (s *Server) Wait() { s.backgroundTasks.Wait() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	s.metrics.requests.Inc(1)
	body := &trackedBody{ReadCloser: r.Body}
	r.Body = body
	holding := s.opts.Memory.Begin()
	defer s.endHolding(r.Context(), holding)
	if s.opts.Routing != nil {
		if err := s.serveRouted(w, r, holding); err != nil {
			s.markIsolated(w, r, err)
			respondWithError(w, r, body, err)
		}
		return
	}
	id := uuid.NewString()
	holding.Request = id
	w.Header().Set("Request-Id", id)
	s.opts.Budget.RecordRequest()
	if err := s.serve(w, r, id, holding); err != nil {
		s.reportFailure(r.Context(), id, err)
		respondWithError(w, r, body, err)
	}
}

// gracePeriod returns how long requests in flight may still take.
func (s *Server) gracePeriod(now time.Time) time.Duration {
	return max(s.maxDeadline(), time.UnixMilli(s.latestDeadline.Load()).Sub(now))
}

// recordDeadline keeps the latest deadline of all requests. The configured maximum does not bound it, because the
// maximum can be lowered while requests are in flight.
func (s *Server) recordDeadline(deadline time.Time) {
	for millis := deadline.UnixMilli(); ; {
		latest := s.latestDeadline.Load()
		if millis <= latest || s.latestDeadline.CompareAndSwap(latest, millis) {
			return
		}
	}
}

// serve writes the response, or returns an error if nothing has been written.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, id string, holding *memory.Holding) *Error {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.maxDeadline() + writeTimeout))
	if countHeaders(r.Header) > maxHeaders {
		return notRun(http.StatusRequestHeaderFieldsTooLarge, codeTooManyHeaders, "more than 100 header fields")
	}
	info, err := s.newRequestInfo(r, id)
	if err != nil {
		return err
	}
	info.holding = holding
	s.recordDeadline(info.deadline)
	ctx, cancel := context.WithDeadlineCause(r.Context(), info.deadline, errDeadlineExceeded)
	defer cancel()
	r = r.WithContext(ctx)
	switch path := r.URL.Path; {
	case path == "/v1/chat/completions":
		return s.requireMethod(http.MethodPost, r, w, func() *Error { return s.serveChat(w, r, info) })
	case path == "/v1/models":
		return s.requireMethod(http.MethodGet, r, w, func() *Error { return s.serveModels(w) })
	case strings.HasPrefix(path, servicePrefix):
		return s.serveService(w, r, info)
	}
	return notRun(http.StatusNotFound, codeNotFound, "no such path")
}

// requireMethod calls next if the request has the given method, or returns an error with status 405.
func (s *Server) requireMethod(method string, r *http.Request, w http.ResponseWriter, next func() *Error) *Error {
	if r.Method != method {
		w.Header().Set("Allow", method)
		return notRun(http.StatusMethodNotAllowed, codeMethodNotAllowed, "use "+method)
	}
	return next()
}

func countHeaders(header http.Header) int {
	n := 0
	for _, values := range header {
		n += len(values)
	}
	return n
}

// contextError returns the error for a request whose context has ended, or nil while it has not. sent says whether an
// upstream may have received the request.
func contextError(ctx context.Context, sent bool) *Error {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return nil
	case errors.Is(cause, errDeadlineExceeded):
		return failure(sent, http.StatusGatewayTimeout, codeDeadlineExceeded, "the deadline has passed")
	case errors.Is(cause, errSlowCaller):
		return failure(sent, statusClientClosedRequest, codeSlowCaller, "the caller did not accept the response and memory was needed")
	case errors.Is(cause, errStopping):
		return failure(sent, http.StatusServiceUnavailable, codeStopping, "the instance stops")
	}
	return failure(sent, statusClientClosedRequest, codeCallerLeft, "the caller left")
}

// statusClientClosedRequest is the non-standard status that web servers usually log when the caller has closed the
// connection.
const statusClientClosedRequest = 499

// reportFailure counts an error and logs it if its status is 500 or more. Errors that callers cause are not logged, so
// that callers cannot flood the log.
func (s *Server) reportFailure(ctx context.Context, id string, err *Error) {
	if err.Code == codeCallerLeft {
		s.metrics.callerGone.Inc(1)
		return
	}
	s.metrics.failed.Inc(1)
	if err.Status >= http.StatusInternalServerError {
		eventRequestFailed.Log(ctx, s.opts.Logger, slog.String("request", id), slog.String("code", err.Code),
			slog.String("message", err.Message))
	}
}
