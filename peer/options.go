package peer

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Limits and times of the transport.
const (
	// keepAliveInterval and pingTimeout must add up to less than 5 s, the time within which a silent session is replaced.
	keepAliveInterval = 2 * time.Second
	pingTimeout       = 2 * time.Second
	dialTimeout       = 2 * time.Second
	// defaultCallTimeout applies to calls whose context has no deadline.
	defaultCallTimeout = 5 * time.Second
	// frameTimeout bounds the reading of a request and the writing of a response.
	frameTimeout       = 5 * time.Second
	streamCloseTimeout = 10 * time.Second
	// idleTimeout is how long an unused session is kept. The keepalive of a session costs two small packets a second.
	idleTimeout       = 10 * time.Second
	idleCheckInterval = 5 * time.Second

	maxSessions          = 1024
	maxStreamsPerSession = 128
	maxInboundCalls      = 1024
	// maxOpenPerSession and maxOpenStreams bound the streams that stay open beside the calls, so that neither takes the
	// room of the other. Each side counts those that it opens on a session, the serving side those of all sessions.
	maxOpenPerSession = 256
	maxOpenStreams    = 512
	// largeFrameBudget bounds the total size of frames in memory that do not fit into a read buffer. It is well below the
	// 64 MB that the whole process may use.
	largeFrameBudget = 8 << 20
	streamWindow     = 256 << 10
)

// Options configure a Transport.
type Options struct {
	// Self is the ID of this process, by which peers call it.
	Self string
	// Address returns the peer address of an instance, if it is known.
	Address func(instance string) (string, bool)
	// Dial opens a connection. The default is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Logger and Metrics may be nil.
	Logger  *slog.Logger
	Metrics metrics.Registry
}

func (o Options) withDefaults() Options {
	if o.Address == nil {
		o.Address = func(string) (string, bool) { return "", false }
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return o
}
