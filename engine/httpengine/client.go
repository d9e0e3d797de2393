// Package httpengine implements engine.Client for engines that use JSON over HTTP and stream one JSON frame per line.
package httpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
)

const (
	dialTimeout = 1 * time.Second
	// headerTimeout equals the idle timeout of streams: an engine sends the response headers at once.
	headerTimeout = frameIdleTimeout
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// idleConnTimeout is short, because an idle connection can fail without notice.
	idleConnTimeout = 5 * time.Second
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Client talks to engines over HTTP. It is safe for concurrent use.
type Client struct {
	// streams opens a connection for each request, so that no request uses an idle connection that failed without
	// notice.
	streams http.RoundTripper
	// calls reuses connections for short calls.
	calls http.RoundTripper
	// slow is for orders and transfers of KV cache, which engines answer only when they are finished.
	slow http.RoundTripper
}

// New returns a client.
func New() *Client { return NewWithDial((&net.Dialer{Timeout: dialTimeout}).DialContext) }

// NewWithDial returns a client that opens its connections with dial.
func NewWithDial(dial DialFunc) *Client {
	bounded := func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
	return &Client{
		streams: &http.Transport{
			DialContext: bounded, ResponseHeaderTimeout: headerTimeout, MaxResponseHeaderBytes: maxHeadBytes,
			DisableKeepAlives: true,
		},
		calls: &http.Transport{
			DialContext: bounded, ResponseHeaderTimeout: headerTimeout, IdleConnTimeout: idleConnTimeout,
			MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: maxHeadBytes,
		},
		slow: &http.Transport{DialContext: bounded, MaxResponseHeaderBytes: maxHeadBytes, DisableKeepAlives: true},
	}
}

// Generate implements engine.Client.
func (c *Client) Generate(ctx context.Context, addr string, req *engine.Request) (engine.Stream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Mark(err, engine.ErrNotSent)
	}
	ctx, cancel := context.WithCancel(ctx)
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, errors.Mark(err, engine.ErrNotSent)
	}
	resp, err := c.streams.RoundTrip(httpReq)
	if err != nil {
		cancel()
		return nil, sendError(err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		cancel()
		return nil, statusError(resp.StatusCode)
	}
	return newFrameStream(resp.Body, cancel), nil
}
