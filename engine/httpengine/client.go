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
	dialTimeout   = 1 * time.Second
	headerTimeout = 3 * time.Second
	// idleConnTimeout is short, because an idle connection can go silent without notice.
	idleConnTimeout = 5 * time.Second
)

// Client talks to engines over HTTP. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:           dialer.DialContext,
		ResponseHeaderTimeout: headerTimeout,
		IdleConnTimeout:       idleConnTimeout,
		MaxIdleConnsPerHost:   16,
	}}}
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
	resp, err := c.http.Do(hreq)
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
