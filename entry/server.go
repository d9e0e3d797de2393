// Package entry serves callers: chat completions on engines and plain services, with retries and resumption, so that
// each caller gets the whole answer to its own request.
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

	"rhubarbpoint/relay"
)

// Server is the caller listener's handler. It is safe for concurrent use.
type Server struct {
	opts       Options
	metrics    *counters
	workspaces atomic.Pointer[workspaceIndex]
	expected   expectations
	epochs     epochTable
	flights    flightTable
	pool       *relay.Pool
	background sync.WaitGroup
	// leaving has the engines that are being reported.
	leaving sync.Map
	closing atomic.Bool
	// refusing is set when routed requests can no longer end before a planned stop does.
	refusing atomic.Bool
	// inFlight counts the routed requests that were taken.
	inFlight atomic.Int64
	// servedLines and failedLines bound the log lines of routed requests.
	servedLines, failedLines *lineLimit
	// latest is the latest deadline of any request, in Unix milliseconds.
	latest atomic.Int64
}

// NewServer returns a server.
func NewServer(opts Options) *Server {
	opts = opts.withDefaults()
	return &Server{opts: opts, metrics: newCounters(opts.Metrics), pool: relay.NewPool(opts.Dial),
		servedLines: newLineLimit(servedLines), failedLines: newLineLimit(failedLines),
	}
}

// DisableKeepAlives makes the server ask callers to open a new connection for their next request.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// Wait returns when the work that outlives its request has ended. No request may be in flight.
func (s *Server) Wait() { s.background.Wait() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	s.metrics.requests.Inc(1)
	body := &trackedBody{ReadCloser: r.Body}
	r.Body = body
	if s.opts.Routing != nil {
		if err := s.serveRouted(w, r); err != nil {
			refuse(w, r, body, err)
		}
		return
	}
	id := uuid.NewString()
	w.Header().Set("Request-Id", id)
	s.opts.Budget.RecordRequest()
	if err := s.serve(w, r, id); err != nil {
		s.noteFailure(r.Context(), id, err)
		refuse(w, r, body, err)
	}
}

// grace returns how long requests in flight may still take.
func (s *Server) grace(now time.Time) time.Duration {
	return max(s.longestDeadline(), time.UnixMilli(s.latest.Load()).Sub(now))
}

// noteDeadline keeps the latest deadline. The longest allowed one can be lowered while requests are in flight.
func (s *Server) noteDeadline(deadline time.Time) {
	for millis := deadline.UnixMilli(); ; {
		latest := s.latest.Load()
		if millis <= latest || s.latest.CompareAndSwap(latest, millis) {
			return
		}
	}
}

// serve answers the request or returns an error when nothing has been written.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, id string) *Error {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.longestDeadline() + writeTimeout))
	if countHeaders(r.Header) > maxHeaders {
		return notRun(http.StatusRequestHeaderFieldsTooLarge, codeTooManyHeaders, "more than 100 header fields")
	}
	call, err := s.newCall(r, id)
	if err != nil {
		return err
	}
	s.noteDeadline(call.deadline)
	ctx, cancel := context.WithDeadlineCause(r.Context(), call.deadline, errDeadline)
	defer cancel()
	r = r.WithContext(ctx)
	switch path := r.URL.Path; {
	case path == "/v1/chat/completions":
		return s.only(http.MethodPost, r, w, func() *Error { return s.chat(w, r, call) })
	case path == "/v1/models":
		return s.only(http.MethodGet, r, w, func() *Error { return s.models(w) })
	case strings.HasPrefix(path, servicePrefix):
		return s.service(w, r, call)
	}
	return notRun(http.StatusNotFound, codeNotFound, "no such path")
}

func (s *Server) only(method string, r *http.Request, w http.ResponseWriter, next func() *Error) *Error {
	if r.Method != method {
		w.Header().Set("Allow", method)
		return notRun(http.StatusMethodNotAllowed, codeMethod, "use "+method)
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

// ended turns the end of a request's context into an error, or returns nil while the context goes on.
func ended(ctx context.Context, sent bool) *Error {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return nil
	case errors.Is(cause, errDeadline):
		return failure(sent, http.StatusGatewayTimeout, codeDeadline, "the deadline has passed")
	case errors.Is(cause, errStopping):
		return failure(sent, http.StatusServiceUnavailable, codeStopping, "the instance stops")
	}
	return failure(sent, statusCallerLeft, codeCallerLeft, "the caller left")
}

// statusCallerLeft is what web servers usually log when the caller closed the connection.
const statusCallerLeft = 499

// noteFailure counts and logs an error. Errors of callers are no events, so that callers cannot fill the log.
func (s *Server) noteFailure(ctx context.Context, id string, err *Error) {
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
