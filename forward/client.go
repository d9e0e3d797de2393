package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/peer"
)

const (
	// maxTries bounds the instances that a request is sent to or that do not answer, maxAsked all instances that are asked
	// to take it. Those that reach no replicas say so within a round trip.
	maxTries = 3
	maxAsked = 8
	// maxIsolatedNearby is the number of instances of the region that reach no replicas after which others are asked.
	maxIsolatedNearby = 3
	// openTimeout bounds how long an instance may take to accept a request.
	openTimeout = 400 * time.Millisecond
	// maxInlineBody is the size up to which a body is written before the response is read. A larger body could fill the
	// window and block if the response comes before the body has been read.
	maxInlineBody   = 16 << 10
	readBufferBytes = 4 << 10
	// maxInformational bounds the informational (1xx) responses before a response.
	maxInformational = 5
)

// Options configure a Client.
type Options struct {
	// Region is preferred among the instances.
	Region string
	// Peers returns the other instances that are live.
	Peers func() []Peer
	// Open opens a connection to an instance, as peer.Transport.OpenStream does.
	Open func(ctx context.Context, instance string) (net.Conn, error)
	// Logger and Metrics may be nil.
	Logger  *slog.Logger
	Metrics metrics.Registry
}

// Client forwards requests to other instances. It is safe for concurrent use.
type Client struct {
	opts                                       Options
	peers                                      *peers
	sent, answered, refused, broken, suspended metrics.Counter
}

// NewClient returns a client.
func NewClient(opts Options) *Client {
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("forward."+name, opts.Metrics) }
	return &Client{opts: opts, peers: newPeers(), sent: counter("sent"), answered: counter("answered"),
		refused: counter("refused"), broken: counter("broken"), suspended: counter("suspended")}
}

// Available reports whether any instance may take a request now.
func (c *Client) Available(now time.Time) bool {
	return len(c.peers.order(now, c.opts.Peers(), c.opts.Region)) > 0
}

// Do sends a message to instances until one answers, and returns the exchange after the head of the answer. Its errors
// are marked ErrNotRun or ErrMayHaveRun. After an instance may have run the request, no other one gets it.
func (c *Client) Do(ctx context.Context, m *Message) (*Exchange, error) {
	all := c.opts.Peers()
	err := errors.New("forward: no instance takes requests")
	tries, asked, isolatedNearby := 0, 0, 0
	for _, target := range c.peers.order(time.Now(), all, c.opts.Region) {
		if ctx.Err() != nil || tries >= maxTries || asked >= maxAsked {
			break
		}
		nearby := target.Region == c.opts.Region
		if nearby && isolatedNearby >= maxIsolatedNearby {
			continue
		}
		asked++
		var ex *Exchange
		ex, err = c.try(ctx, target.ID, m)
		if err == nil || errors.Is(err, ErrMayHaveRun) {
			return ex, err
		}
		switch {
		case ctx.Err() != nil:
		case !c.avoid(ctx, target.ID, err):
			tries++
		case nearby:
			isolatedNearby++
		}
	}
	if now := time.Now(); ctx.Err() == nil && c.peers.suspend(now, all) {
		c.suspended.Inc(1)
		eventSuspended.Log(ctx, c.opts.Logger, slog.Int64("suspend_ms", suspendTime.Milliseconds()), slog.Int("instances", len(all)))
	}
	return nil, errors.Mark(err, ErrNotRun)
}

// avoid records that an instance did not take a request, and reports whether it is because it reaches no replicas.
func (c *Client) avoid(ctx context.Context, id string, err error) (isolated bool) {
	c.refused.Inc(1)
	d := avoidTime
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		switch remote.Code {
		case CodeIsolated:
			d, isolated = isolatedTime, true
		case peer.CodeUnknownCall:
			d = unableTime
		}
	}
	c.peers.avoid(time.Now(), id, d, isolated)
	eventPeerAvoided.Log(ctx, c.opts.Logger, slog.String("instance", id), slog.Int64("avoid_ms", d.Milliseconds()), slog.Any("error", err))
	return isolated
}

// NoteIsolated records that an instance reaches no replicas, as one does that forwards requests itself.
func (c *Client) NoteIsolated(id string) { c.peers.avoid(time.Now(), id, isolatedTime, true) }

// try sends the message to one instance.
func (c *Client) try(ctx context.Context, id string, m *Message) (*Exchange, error) {
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := c.opts.Open(openCtx, id)
	if err != nil {
		return nil, err
	}
	c.sent.Inc(1)
	x := &Exchange{Instance: id, conn: conn}
	x.stopWatching = context.AfterFunc(ctx, func() { conn.Close() })
	if err := x.roundTrip(m); err != nil {
		x.Close()
		c.broken.Inc(1)
		return nil, errors.Mark(err, ErrMayHaveRun)
	}
	if x.Response.StatusCode == http.StatusServiceUnavailable && x.Response.Header.Get(HeaderIsolated) != "" {
		x.Close()
		return nil, &peer.RemoteError{Code: CodeIsolated, Message: "after the request was sent"}
	}
	c.answered.Inc(1)
	return x, nil
}

// Exchange is a message and its answer by one instance. It is not safe for concurrent use. Close must be called.
type Exchange struct {
	// Instance is the instance that answers.
	Instance string
	Response *http.Response

	conn         net.Conn
	stopWatching func() bool
}

func (x *Exchange) roundTrip(m *Message) error {
	req := &http.Request{
		Method: m.Method, URL: &url.URL{Opaque: m.Target}, Host: m.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: m.Header(time.Now()), ContentLength: int64(len(m.Body)), Close: true,
	}
	if _, found := req.Header["User-Agent"]; !found {
		req.Header["User-Agent"] = nil // prevents net/http from adding its default
	}
	if len(m.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(m.Body))
	}
	if len(m.Body) > maxInlineBody {
		go func() { _ = req.Write(x.conn) }() // a failure shows in the response
	} else if err := req.Write(x.conn); err != nil {
		return errors.Wrap(err, "forward: write")
	}
	reader := bufio.NewReaderSize(x.conn, readBufferBytes)
	for range maxInformational + 1 {
		resp, err := http.ReadResponse(reader, req)
		if err != nil {
			return errors.Wrap(err, "forward: head of the answer")
		}
		if resp.StatusCode >= http.StatusOK {
			x.Response = resp
			return nil
		}
	}
	return errors.New("forward: too many informational responses")
}

// Close ends the exchange. An answer that has not been read to its end is cancelled at the other instance.
func (x *Exchange) Close() {
	x.stopWatching()
	x.conn.Close()
}
