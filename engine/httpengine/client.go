// Package httpengine is the adapter to engines that speak JSON over HTTP, with one JSON frame a line in streams.
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
	// headerTimeout equals the idle timeout of streams: an engine answers the headers at once.
	headerTimeout = frameIdleTimeout
	// idleConnTimeout is short, because an idle connection can go silent without notice.
	idleConnTimeout = 5 * time.Second
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Client talks to engines over HTTP. It is safe for concurrent use.
type Client struct {
	// streams opens a connection for each request, so that no request meets an idle connection that went silent.
	streams http.RoundTripper
	// calls reuses connections for short calls.
	calls http.RoundTripper
	// slow serves orders and transfers of KV cache, whose answer comes when they are finished.
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
		streams: &http.Transport{DialContext: bounded, ResponseHeaderTimeout: headerTimeout, DisableKeepAlives: true},
		calls: &http.Transport{
			DialContext: bounded, ResponseHeaderTimeout: headerTimeout, IdleConnTimeout: idleConnTimeout,
			MaxIdleConnsPerHost: 4,
		},
		slow: &http.Transport{DialContext: bounded, DisableKeepAlives: true},
	}
}

// Generate implements engine.Client.
func (c *Client) Generate(ctx context.Context, addr string, req *engine.Request) (engine.Stream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Mark(err, engine.ErrNotSent)
	}
	ctx, cancel := context.WithCancel(ctx)
	hreq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, errors.Mark(err, engine.ErrNotSent)
	}
	resp, err := c.streams.RoundTrip(hreq)
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
