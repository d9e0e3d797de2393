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

// forcedStop bounds the end of requests that outlived the grace period, once they have been told to end.
const forcedStop = 2 * writeTimeout

// Listen opens the caller listener. Its TCP keepalive finds a caller that is gone within 15 s.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 5 * time.Second, Interval: 5 * time.Second, Count: 2,
	}}
	listener, err := config.Listen(ctx, "tcp", addr)
	return listener, errors.Wrap(err, "entry: caller listener")
}

// HTTPServer is the caller listener: an HTTP server with limits and a graceful stop.
type HTTPServer struct {
	server *Server
	http   *http.Server
	end    context.CancelCauseFunc
	ready  atomic.Bool
}

// NewHTTPServer returns a listener for a server. It reports ready from Serve on.
func NewHTTPServer(server *Server) *HTTPServer {
	base, end := context.WithCancelCause(context.Background())
	f := &HTTPServer{server: server, end: end}
	f.http = &http.Server{
		Handler: server, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return base },
	}
	if server.opts.Routing != nil {
		f.http.IdleTimeout = routedIdleTimeout
	}
	if logger := server.opts.Logger; logger != nil {
		f.http.ErrorLog = slog.NewLogLogger(logger.Handler(), slog.LevelDebug)
	}
	return f
}

// Serve accepts callers until Drain. It returns nil after a drain.
func (f *HTTPServer) Serve(listener net.Listener) error {
	f.ready.Store(true)
	if err := f.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "entry: caller listener")
	}
	return nil
}

// Ready says whether the balancer should send callers here.
func (f *HTTPServer) Ready() bool { return f.ready.Load() }

// Drain stops gracefully: the front reports not ready, goes on accepting for the delay while the balancer lags, stops
// listening, and waits for the requests in flight. Requests that outlive the longest allowed deadline, or limit after the
// delay, get an error. It returns nil when no request was cut off.
func (f *HTTPServer) Drain(delay, limit time.Duration) error {
	ctx := context.Background()
	logger := f.server.opts.Logger
	eventDrainStarted.Log(ctx, logger)
	f.ready.Store(false)
	f.server.DisableKeepAlives()
	time.Sleep(delay)
	limit = min(limit, f.server.grace(time.Now())+writeTimeout)
	if f.server.opts.Routing != nil {
		limit -= f.refuse(limit)
	}
	err := f.shutdown(limit)
	if err != nil {
		eventDrainOverdue.Log(ctx, logger)
		f.end(errStopping)
		if f.shutdown(min(limit, forcedStop)) != nil {
			f.http.Close()
		}
	}
	f.server.Wait()
	eventDrainFinished.Log(ctx, logger)
	return err
}

// idlePoll is how often a stopping instance looks whether requests are in flight.
const idlePoll = 20 * time.Millisecond

// refuse answers new requests with a refusal until none is in flight any more, for at most limit, and returns how long that
// took. The server would close their connections without an answer once it shuts down, and callers could not know
// whether they were read.
func (f *HTTPServer) refuse(limit time.Duration) time.Duration {
	start := time.Now()
	f.server.refusing.Store(true)
	for f.server.inFlight.Load() > 0 && time.Since(start) < limit {
		time.Sleep(idlePoll)
	}
	return time.Since(start)
}

func (f *HTTPServer) shutdown(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return errors.Wrap(f.http.Shutdown(ctx), "entry: requests in flight")
}
