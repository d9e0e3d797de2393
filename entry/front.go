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

// forcedStopTimeout is how long requests that outlived the grace period may still take after their contexts have been
// cancelled.
const forcedStopTimeout = 2 * writeTimeout

// Listen opens the caller listener. Its TCP keepalive detects an unreachable caller within 15 s.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 5 * time.Second, Interval: 5 * time.Second, Count: 2,
	}}
	listener, err := config.Listen(ctx, "tcp", addr)
	return listener, errors.Wrap(err, "entry: open the caller listener")
}

// Front is the HTTP server for callers, with limits and graceful shutdown.
type Front struct {
	server         *Server
	http           *http.Server
	cancelRequests context.CancelCauseFunc
	ready          atomic.Bool
}

// NewFront returns an HTTP server with server as its handler. It reports ready once Serve is called.
func NewFront(server *Server) *Front {
	base, cancel := context.WithCancelCause(context.Background())
	f := &Front{server: server, cancelRequests: cancel}
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

// Serve accepts connections from callers until Drain is called, and then returns nil.
func (f *Front) Serve(listener net.Listener) error {
	f.ready.Store(true)
	if err := f.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "entry: serve callers")
	}
	return nil
}

// Ready reports whether the load balancer should send callers to this instance.
func (f *Front) Ready() bool { return f.ready.Load() }

// Drain shuts down gracefully. It reports not ready, keeps accepting requests for delay until the load balancer has
// noticed, closes the listener, and waits for the requests in flight. Requests that outlive the longest allowed
// deadline, or limit after the delay, get an error. It returns nil if no request was cut off.
func (f *Front) Drain(delay, limit time.Duration) error {
	ctx := context.Background()
	logger := f.server.opts.Logger
	eventDrainStarted.Log(ctx, logger)
	f.ready.Store(false)
	f.server.SetClosing()
	time.Sleep(delay)
	limit = min(limit, f.server.gracePeriod(time.Now())+writeTimeout)
	if f.server.opts.Routing != nil {
		limit -= f.refuseNewRequests(limit)
	}
	err := f.shutdown(limit)
	if err != nil {
		eventDrainOverdue.Log(ctx, logger)
		f.cancelRequests(errStopping)
		if f.shutdown(min(limit, forcedStopTimeout)) != nil {
			f.http.Close()
		}
	}
	f.server.Wait()
	eventDrainFinished.Log(ctx, logger)
	return err
}

// inFlightPollInterval is how often Drain checks whether routed requests are in flight.
const inFlightPollInterval = 20 * time.Millisecond

// refuseNewRequests answers new routed requests with an error until none is in flight any more, for at most limit, and
// returns how long that took. Once it shuts down, net/http closes the connections of new requests without a response,
// and callers could not know whether their requests had been read.
func (f *Front) refuseNewRequests(limit time.Duration) time.Duration {
	start := time.Now()
	f.server.refusing.Store(true)
	for f.server.routedInFlight.Load() > 0 && time.Since(start) < limit {
		time.Sleep(inFlightPollInterval)
	}
	return time.Since(start)
}

func (f *Front) shutdown(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return errors.Wrap(f.http.Shutdown(ctx), "entry: shut down with requests in flight")
}
