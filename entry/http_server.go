package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// forcedStopTimeout is how long requests that outlived the grace period may still take at most after their contexts have
	// been cancelled.
	forcedStopTimeout = 2 * writeTimeout
	// lastAnswersShare is the part of the limit, as its divisor, that is kept for the answers of these requests.
	lastAnswersShare = 10
)

// Listen opens the caller listener. Its TCP keepalive detects an unreachable caller within 15 s.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 5 * time.Second, Interval: 5 * time.Second, Count: 2,
	}}
	listener, err := config.Listen(ctx, "tcp", addr)
	return listener, errors.Wrap(err, "entry: open the caller listener")
}

// HTTPServer is the HTTP server for callers, with limits and graceful shutdown.
type HTTPServer struct {
	server *Server
	http   *http.Server
	// peers serves the requests that other instances forward.
	peers          *http.Server
	cancelRequests context.CancelCauseFunc
	ready          atomic.Bool
}

// NewHTTPServer returns an HTTP server with server as its handler. It reports ready once Serve is called.
func NewHTTPServer(server *Server) *HTTPServer {
	base, cancel := context.WithCancelCause(context.Background())
	s := &HTTPServer{server: server, cancelRequests: cancel}
	s.http = &http.Server{
		Handler: server, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return base },
	}
	if server.opts.Routing != nil {
		s.http.IdleTimeout = routedIdleTimeout
	}
	s.peers = &http.Server{
		Handler: server, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: 2 * maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return context.WithValue(base, forwardedKey{}, true) },
	}
	if logger := server.opts.Logger; logger != nil {
		s.http.ErrorLog = slog.NewLogLogger(logger.Handler(), slog.LevelDebug)
		s.peers.ErrorLog = s.http.ErrorLog
	}
	return s
}

// Serve accepts connections from callers until Drain is called, and then returns nil.
func (s *HTTPServer) Serve(listener net.Listener) error {
	s.ready.Store(true)
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "entry: serve callers")
	}
	return nil
}

// Ready reports whether the load balancer should send callers to this instance.
func (s *HTTPServer) Ready() bool { return s.ready.Load() }

// Drain shuts down gracefully. It reports not ready, keeps accepting requests for delay, so that the load balancer can
// notice, then refuses new routed requests, closes the listener, and waits for the requests in flight. Requests that
// outlive the longest allowed deadline, or most of limit after the delay, get an error within the rest of it. It returns
// nil if no request was cut off.
func (s *HTTPServer) Drain(delay, limit time.Duration) error {
	ctx := context.Background()
	logger := s.server.opts.Logger
	eventDrainStarted.Log(ctx, logger)
	s.ready.Store(false)
	s.server.DisableKeepAlives()
	time.Sleep(delay)
	forLastAnswers := min(limit/lastAnswersShare, forcedStopTimeout)
	limit = min(limit-forLastAnswers, s.server.gracePeriod(time.Now())+writeTimeout)
	if s.server.opts.Routing != nil {
		limit -= s.refuseNewRequests(limit)
	}
	err := s.shutdown(limit)
	if err != nil {
		eventDrainOverdue.Log(ctx, logger)
		s.cancelRequests(errStopping)
		if s.shutdown(forLastAnswers) != nil {
			s.http.Close()
			s.peers.Close()
		}
	}
	s.server.Wait()
	eventDrainFinished.Log(ctx, logger)
	return err
}

// inFlightPollInterval is how often Drain checks whether routed requests are in flight.
const inFlightPollInterval = 20 * time.Millisecond

// refuseNewRequests answers new routed requests with an error until none is in flight any more, for at most limit, and
// returns how long that took. Once it shuts down, net/http closes the connections of new requests without a response,
// and callers could not know whether their requests had been read.
func (s *HTTPServer) refuseNewRequests(limit time.Duration) time.Duration {
	start := time.Now()
	s.server.refusing.Store(true)
	for s.server.routedInFlight.Load() > 0 && time.Since(start) < limit {
		time.Sleep(inFlightPollInterval)
	}
	return time.Since(start)
}

func (s *HTTPServer) shutdown(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return errors.Wrap(errors.CombineErrors(s.http.Shutdown(ctx), s.peers.Shutdown(ctx)), "entry: shut down with requests in flight")
}
